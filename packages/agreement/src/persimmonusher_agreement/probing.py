"""Failure detection by probes: direct first, then through instances in other failure domains.

Failure: the path between two instances is cut, often one way only, and one would declare the other
dead. Its direct probes stay unanswered, while other instances still get answers. So a suspicion
needs the direct path and the paths through three helpers, in different failure domains if possible,
to fail in the same round.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Final

from persimmonusher_agreement.member_record import MemberRecord
from persimmonusher_agreement.member_table import MemberTable
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import (
    Ack,
    Body,
    PathCut,
    PathRestored,
    Ping,
    PingRequest,
)
from persimmonusher_model.identifiers import InstanceId

MAX_RELAYS: Final = 256
"""Probes for other instances at a time; each expires after one probe interval."""


@dataclass(frozen=True)
class Outgoing:
    """A message for one address; the instance is None if it isn't known."""

    address: str
    instance: InstanceId | None
    body: Body


@dataclass
class ProbeStep:
    """The result of a step: messages to send, an instance to suspect, a change of a path."""

    outgoing: list[Outgoing] = field(default_factory=list)
    suspected: InstanceId | None = None
    path: PathCut | PathRestored | None = None


@dataclass
class _Round:
    """The probe of one instance, from its ping to the end of the interval."""

    target: MemberRecord
    sequence: int
    started: float
    has_asked_helpers: bool = False
    answered_directly: bool = False
    answered_indirectly: bool = False


@dataclass(frozen=True)
class _Relay:
    """A probe made for another instance."""

    requester: str
    sequence: int
    started: float


class Prober:
    """Probes one instance in each interval, all of them in turn, in a shuffled order."""

    def __init__(self, table: MemberTable, limits: MembershipLimits, random: Random) -> None:
        self._table = table
        self._limits = limits
        self._random = random
        self._sequence = random.getrandbits(31)
        self._order: list[InstanceId] = []
        self._round: _Round | None = None
        self._next_round = 0.0
        self._relays: dict[int, _Relay] = {}
        self._indirect_rounds: dict[InstanceId, int] = {}
        self._last_answer = -limits.unanswered_seconds

    @property
    def cut_paths(self) -> frozenset[InstanceId]:
        """Return the instances that answered only through helpers, `cut_rounds` rounds in a row."""
        limit = self._limits.cut_rounds
        return frozenset(name for name, count in self._indirect_rounds.items() if count >= limit)

    def has_recent_answer(self, active: float) -> bool:
        """Return whether a probe was answered within `unanswered_seconds`."""
        return active - self._last_answer < self._limits.unanswered_seconds

    def next_sequence(self) -> int:
        """Return a sequence number that no earlier message of this instance carried."""
        self._sequence += 1
        return self._sequence

    def tick(self, active: float) -> ProbeStep:
        """Continue the running round, or end it and start the next."""
        if active >= self._next_round:
            step = self._end_round()
            self._start_round(active, step)
            return step
        step = ProbeStep()
        running = self._round
        if running is None or running.has_asked_helpers or running.answered_directly:
            return step
        if active - running.started >= self._limits.direct_timeout_seconds:
            running.has_asked_helpers = True
            step.outgoing = self._ask_helpers(running)
        return step

    def abandon_round(self) -> None:
        """Abandon the running round: after a pause, its answers may still wait in the socket."""
        self._round = None

    def handle_request(self, request: PingRequest, source: str, active: float) -> list[Outgoing]:
        """Probe the target for another instance; drop the request over `MAX_RELAYS`."""
        expired = active - self._limits.probe_interval
        self._relays = {
            sequence: relay for sequence, relay in self._relays.items() if relay.started > expired
        }
        if len(self._relays) >= MAX_RELAYS:
            return []
        sequence = self.next_sequence()
        self._relays[sequence] = _Relay(source, request.sequence, active)
        return [Outgoing(request.target_address, request.target, Ping(sequence))]

    def handle_ack(self, ack: Ack, sender: InstanceId, active: float) -> list[Outgoing]:
        """Count an answer, or relay it to the instance that asked for the probe."""
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            return [Outgoing(relay.requester, None, Ack(relay.sequence, ack.subject))]
        running = self._round
        if running is None or ack.sequence != running.sequence:
            return []
        if ack.subject != running.target.instance_id:
            return []
        self._last_answer = active
        if sender == ack.subject:
            running.answered_directly = True
        else:
            running.answered_indirectly = True
        return []

    def _start_round(self, active: float, step: ProbeStep) -> None:
        self._next_round = active + self._limits.probe_interval
        target = self._next_target()
        self._round = None
        if target is not None:
            self._round = _Round(target, self.next_sequence(), active)
            ping = Ping(self._round.sequence)
            step.outgoing.append(Outgoing(target.peer_address, target.instance_id, ping))

    def _next_target(self) -> MemberRecord | None:
        while True:
            if not self._order:
                self._order = [peer.instance_id for peer in self._table.list_peers()]
                self._random.shuffle(self._order)
                if not self._order:
                    return None
            target = self._table.live.get(self._order.pop())
            if target is not None:
                return target

    def _ask_helpers(self, running: _Round) -> list[Outgoing]:
        """Probe again, and ask helpers to probe: at 20% loss the second ping saves most rounds."""
        target = running.target
        ping = Ping(running.sequence)
        request = PingRequest(running.sequence, target.instance_id, target.peer_address)
        helpers = [
            Outgoing(helper.peer_address, helper.instance_id, request)
            for helper in self._choose_helpers(target)
        ]
        return [Outgoing(target.peer_address, target.instance_id, ping), *helpers]

    def _choose_helpers(self, target: MemberRecord) -> list[MemberRecord]:
        """Choose helpers at random, spread over failure domains; our own domain comes late.

        The first helper of each other domain comes first; our own domain counts as used once.
        """
        peers = self._table.list_peers()
        sample = self._random.sample(peers, min(len(peers), 8 * self._limits.probe_helpers))
        others = [peer for peer in sample if peer.instance_id != target.instance_id]
        seen: dict[str, int] = {self._table.own.failure_domain: 1}
        ranked: list[tuple[int, int, MemberRecord]] = []
        for place, peer in enumerate(others):
            turn = seen.get(peer.failure_domain, 0)
            seen[peer.failure_domain] = turn + 1
            ranked.append((turn, place, peer))
        ranked.sort(key=lambda entry: entry[:2])
        return [peer for _, _, peer in ranked[: self._limits.probe_helpers]]

    def _end_round(self) -> ProbeStep:
        step = ProbeStep()
        running = self._round
        if running is None or running.target.instance_id not in self._table.live:
            return step
        name = running.target.instance_id
        if running.answered_directly:
            if self._indirect_rounds.pop(name, 0) >= self._limits.cut_rounds:
                step.path = PathRestored(name)
        elif running.answered_indirectly:
            rounds = self._indirect_rounds.get(name, 0) + 1
            self._indirect_rounds[name] = rounds
            if rounds == self._limits.cut_rounds:
                step.path = PathCut(name)
        else:
            self._indirect_rounds.pop(name, None)
            step.suspected = name
        return step
