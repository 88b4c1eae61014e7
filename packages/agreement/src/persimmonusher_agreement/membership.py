"""Instance membership and the directory of one instance: the state machine without I/O.

SWIM-like: probes find failures, rumours spread changes, and anti-entropy repairs what rumours
missed. The adapter calls `tick` every 0.1 s and `receive` for each authenticated datagram, and
carries out the effects that they return.

Arithmetic at the target size, for each of 2,500 instances, in bytes a second sent with headers:
one ping and one answer a second, 2 x 110 = 220; changes 1.25/s x 14 sends x (110 + 110) = 3,850
when each travels alone, less when several share a datagram; heartbeats at most 2,000 by
`choose_stride`; an exchange of digests each 5 s, 2,500 / 5 = 500. Together 6.6 KB/s of 8.
docs/design/membership.md has the measured figures.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Final

from persimmonusher_agreement.active_time import ActiveTime
from persimmonusher_agreement.anti_entropy import (
    MAX_REPAIRS,
    REPAIR_BYTES,
    AntiEntropy,
    split_records,
)
from persimmonusher_agreement.directory import Announced, Directory
from persimmonusher_agreement.gossip import GossipQueue, count_transmissions
from persimmonusher_agreement.member_record import MemberRecord
from persimmonusher_agreement.member_table import MemberTable
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import (
    Ack,
    Body,
    BucketDigests,
    Effect,
    Envelope,
    GroupDigests,
    Heartbeat,
    Join,
    MembersChanged,
    NewerRevision,
    Ping,
    PingRequest,
    Repair,
    Rumour,
    ServersChanged,
    SilenceQuery,
    SilenceReply,
    Summary,
)
from persimmonusher_agreement.outbox import Outbox
from persimmonusher_agreement.probing import Outgoing, Prober
from persimmonusher_agreement.record import Record
from persimmonusher_agreement.record_store import RecordStore
from persimmonusher_agreement.server_heartbeats import ServerHeartbeats
from persimmonusher_agreement.server_record import ServerRecord
from persimmonusher_model.identifiers import Revision

SEEDS_AT_ONCE: Final = 3
LEAVE_FANOUT: Final = 8
"""A leaving instance tells so many at once; one of them hears of it at 20% loss in all but 3 of
10^6 cases, and the rest find out by probes."""


class FleetMembership:
    """One instance's view of the fleet and of the backend servers.

    >>> fleet = FleetMembership(own, ("127.0.0.1:7003",), Random(1))  # doctest: +SKIP
    >>> effects = fleet.tick(clock.monotonic())  # doctest: +SKIP
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: Sequence[str],
        random: Random,
        limits: MembershipLimits | None = None,
    ) -> None:
        self._limits = limits or MembershipLimits()
        self._seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._random = random
        self._time = ActiveTime()
        self._store = RecordStore()
        self._queue = GossipQueue()
        self.members = MemberTable(own, self._store, self._limits)
        self.directory = Directory(self._store, self._limits)
        self.prober = Prober(self.members, self._limits, random)
        self._outbox = Outbox(self.members, self._store, self._queue, self._limits, random)
        self._exchange = AntiEntropy(self._store, self._limits, random)
        self.heartbeats = ServerHeartbeats(self.members, self.directory, self._limits)
        self._due: dict[Callable[[float], None], float] = {}
        self._next_exchange = 0.0
        self._handlers: dict[type[Any], Callable[[Any, Envelope, str, float], None]] = {
            Ping: self._take_ping,
            PingRequest: self._take_ping_request,
            Ack: self._take_ack,
            Join: self._take_join,
            Rumour: self._take_rumour,
            GroupDigests: self._take_groups,
            BucketDigests: self._take_buckets,
            Summary: self._take_summary,
            Repair: self._take_repair,
            Heartbeat: self._take_heartbeat,
            SilenceQuery: self._take_silence_query,
            SilenceReply: self._take_silence_reply,
        }

    @property
    def digest(self) -> int:
        """Return the digest of all live records; equal where two instances agree."""
        return self._store.digest

    def set_revision(self, revision: Revision) -> None:
        """Take the configuration revision in force here, for others to hear of."""
        self._outbox.revision = revision

    def tick(self, now: float) -> list[Effect]:
        """Let time pass: probe, spread, expire, and look for silent servers."""
        active = self._advance(now)
        limits = self._limits
        self._probe(active)
        self._every(limits.gossip_interval, self._outbox.spread, active)
        self._every(limits.silence_interval, self._watch, active)
        self._every(limits.reconnect_interval, self._reconnect, active)
        alone = len(self.members.live) == 1
        self._every(1.0 if alone else limits.seed_interval, self._join, active)
        for record in self.members.expire(active):
            self._note_change(record, active)
        self.directory.expire(active)
        return self._outbox.drain()

    def receive(self, envelope: Envelope, source: str, now: float) -> list[Effect]:
        """Take a datagram that came from the `ip:port` in `source`."""
        active = self._advance(now)
        if envelope.sender == self.members.own.instance_id:
            return []
        if envelope.revision > self._outbox.revision:
            self._outbox.add(NewerRevision(envelope.sender, envelope.revision))
        stale = [record for record in envelope.updates if not self._apply(record, active)]
        if stale and isinstance(envelope.body, Repair):
            self._answer_stale(stale, envelope, source)
        self._handlers[type(envelope.body)](envelope.body, envelope, source, active)
        return self._outbox.drain()

    def announce(self, record: ServerRecord, now: float) -> tuple[Announced, list[Effect]]:
        """Take what a backend server told this instance, at about one announcement a second."""
        active = self._advance(now)
        announced = self.directory.announce(record, active)
        if announced.changed:
            self._note_change(record, active)
            self._outbox.spread(active)
        if announced.accepted:
            for outgoing in self.heartbeats.forward(record, active):
                self._outbox.send(outgoing)
        return announced, self._outbox.drain()

    def leave(self, now: float) -> list[Effect]:
        """Say goodbye to several instances at once; nothing else is sent afterwards."""
        self._advance(now)
        record = self.members.leave()
        peers = self.members.list_peers()
        for peer in self._random.sample(peers, min(LEAVE_FANOUT, len(peers))):
            rumour = Outgoing(peer.peer_address, peer.instance_id, Rumour())
            self._outbox.send(rumour, (record,))
        return self._outbox.drain()

    def _advance(self, now: float) -> float:
        """Count active time; after a pause, start anew what would judge others by it."""
        active = self._time.advance(now)
        pause = self._time.take_pause()
        if pause:
            self.prober.abandon_round()
        if pause > self._limits.stopped_retention / 2:
            self.directory.forget_all()
        return active

    def _every(self, interval: float, action: Callable[[float], None], active: float) -> None:
        if active >= self._due.get(action, 0.0):
            self._due[action] = active + interval
            action(active)

    def _apply(self, record: Record, active: float) -> bool:
        """Merge a record; False where ours is newer."""
        if isinstance(record, MemberRecord):
            passed_on: Record | None = self.members.apply(record, active)
        elif isinstance(record, ServerRecord):
            passed_on = record if self.directory.apply(record, active) else None
        else:
            return True
        if passed_on is None:
            held = self._store.get(record.key_hash)
            return held is None or held.version == record.version
        self._note_change(passed_on, active)
        return True

    def _note_change(self, record: Record, active: float) -> None:
        """Queue a change for the others and report it here."""
        self._queue.add(record, count_transmissions(len(self.members.live)))
        if isinstance(record, MemberRecord):
            self._outbox.add(MembersChanged())
            return
        if isinstance(record, ServerRecord):
            self._outbox.add(ServersChanged(record.service))
            newer = self.heartbeats.learn(record, active)
            if newer is not None:
                self._apply(newer, active)

    def _probe(self, active: float) -> None:
        step = self.prober.tick(active)
        if step.suspected is not None:
            suspicion = self.members.suspect(step.suspected, active)
            if suspicion is not None:
                self._note_change(suspicion, active)
        if step.path is not None:
            self._outbox.add(step.path)
        for outgoing in step.outgoing:
            self._outbox.send(outgoing)

    def _watch(self, active: float) -> None:
        outgoing, lost = self.heartbeats.tick(active)
        for message in outgoing:
            self._outbox.send(message)
        for record in lost:
            self._apply(record, active)

    def _reconnect(self, active: float) -> None:
        """Probe one of the dead: after a cut has healed, nobody else would speak to it."""
        dead = list(self.members.dead.values())
        if dead:
            member = self._random.choice(dead)
            self._ping(member.peer_address, member)

    def _join(self, active: float) -> None:
        """Introduce this instance to seeds that are not among the live instances."""
        known = {member.peer_address for member in self.members.live.values()}
        seeds = [seed for seed in self._seeds if seed not in known]
        for seed in self._random.sample(seeds, min(SEEDS_AT_ONCE, len(seeds))):
            self._outbox.send(Outgoing(seed, None, Join(self.prober.next_sequence())))

    def _ping(self, address: str, member: MemberRecord) -> None:
        ping = Ping(self.prober.next_sequence())
        self._outbox.send(Outgoing(address, member.instance_id, ping))

    def _start_exchange(self, digest: int, peer: str, active: float) -> None:
        """Start an exchange where the digests differ, within the interval and the budget."""
        if digest == self._store.digest or active < self._next_exchange:
            return
        if not self._outbox.has_budget(active):
            return
        small = self._exchange.is_small
        interval = self._limits.small_sync_interval if small else self._limits.large_sync_interval
        self._next_exchange = active + interval
        self._outbox.send(Outgoing(peer, None, self._exchange.start()))

    def _repair(self, peer: str, records: Sequence[Record], wanted: tuple[int, ...]) -> None:
        pieces = split_records(records, REPAIR_BYTES)[:MAX_REPAIRS] or [()]
        for place, piece in enumerate(pieces):
            body = Repair(wanted if place == 0 else ())
            if piece or body.wanted:
                self._outbox.send(Outgoing(peer, None, body), piece)

    def _answer_stale(self, stale: Sequence[Record], envelope: Envelope, source: str) -> None:
        """Answer records that ours supersede with ours, tombstones included."""
        held = [self._store.get(record.key_hash) for record in stale]
        newer = [record for record in held if record is not None]
        self._repair(source, newer, ())

    def _take_ping(self, ping: Ping, envelope: Envelope, source: str, active: float) -> None:
        own = self.members.own.instance_id
        self._outbox.send(Outgoing(source, envelope.sender, Ack(ping.sequence, own)))
        self._start_exchange(envelope.digest, source, active)

    def _take_ping_request(
        self, request: PingRequest, envelope: Envelope, source: str, active: float
    ) -> None:
        for outgoing in self.prober.take_request(request, source, active):
            self._outbox.send(outgoing)

    def _take_ack(self, ack: Ack, envelope: Envelope, source: str, active: float) -> None:
        for outgoing in self.prober.take_ack(ack, envelope.sender):
            self._outbox.send(outgoing)
        self._start_exchange(envelope.digest, source, active)

    def _take_join(self, join: Join, envelope: Envelope, source: str, active: float) -> None:
        own = self.members.own
        ack = Outgoing(source, envelope.sender, Ack(join.sequence, own.instance_id))
        self._outbox.send(ack, (own,))

    def _take_rumour(self, body: Body, envelope: Envelope, source: str, active: float) -> None:
        """Nothing to do: the updates are merged already."""

    def _take_groups(
        self, message: GroupDigests, envelope: Envelope, source: str, active: float
    ) -> None:
        for answer in self._exchange.answer_groups(message):
            self._outbox.send(Outgoing(source, envelope.sender, answer))

    def _take_buckets(
        self, message: BucketDigests, envelope: Envelope, source: str, active: float
    ) -> None:
        for summary in self._exchange.answer_buckets(message):
            self._outbox.send(Outgoing(source, envelope.sender, summary))

    def _take_summary(
        self, summary: Summary, envelope: Envelope, source: str, active: float
    ) -> None:
        if self._outbox.has_budget(active):
            difference = self._exchange.answer_summary(summary)
            self._repair(source, difference.records, difference.wanted)

    def _take_repair(self, repair: Repair, envelope: Envelope, source: str, active: float) -> None:
        if repair.wanted:
            self._repair(source, self._exchange.answer_wanted(repair.wanted), ())
        if envelope.updates:
            soon = active + self._limits.catch_up_interval
            self._next_exchange = min(self._next_exchange, soon)

    def _take_heartbeat(
        self, heartbeat: Heartbeat, envelope: Envelope, source: str, active: float
    ) -> None:
        change = self.heartbeats.take(heartbeat, active)
        if change is not None:
            self._apply(change, active)

    def _take_silence_query(
        self, query: SilenceQuery, envelope: Envelope, source: str, active: float
    ) -> None:
        reply = self.heartbeats.watch.answer(query, active)
        self._outbox.send(Outgoing(source, envelope.sender, reply))

    def _take_silence_reply(
        self, reply: SilenceReply, envelope: Envelope, source: str, active: float
    ) -> None:
        self.heartbeats.watch.take_reply(reply, envelope.sender, active)
