"""The state machines that traces can drive, each with the calls that a trace may make."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from persimmonusher_agreement.claims import ClaimRequest, ClaimRound, Settlement
from persimmonusher_agreement.claims import Vote as ClaimVote
from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.configuration_keeper import ConfigurationKeeper
from persimmonusher_agreement.configuration_objects import Change, Verdict
from persimmonusher_agreement.log_messages import (
    Entry,
    KeeperId,
    LogMessage,
    Members,
    Snapshot,
    Vote,
)
from persimmonusher_agreement.log_storage import LogStorage, StoredLog
from persimmonusher_agreement.register import Register
from persimmonusher_agreement.roster import Roster
from persimmonusher_decisions.evidence_messages import EjectionSet
from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch, Outcome, Refusal, Request
from persimmonusher_lab import promises
from persimmonusher_lab.ledger import LedgerRecord
from persimmonusher_lab.load import Try
from persimmonusher_lab.promises import PromiseResult
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId, ServiceName
from persimmonusher_model.profile import Profile

LINEAGE: Final = "trace"
"""Lineage of the one log that all recorded keepers share."""


@dataclass(frozen=True)
class MachineKind:
    """How a machine is constructed, and which of its methods a trace may call."""

    make: Callable[..., Any]
    calls: frozenset[str]


class MemoryDisk(LogStorage):
    """A keeper's disk in memory: what was not synced is lost in a crash."""

    def __init__(self) -> None:
        self._vote = Vote(0, None)
        self._snapshot: Snapshot | None = None
        self._entries: list[Entry] = []
        self._synced: tuple[Entry, ...] = ()

    def load(self) -> StoredLog:
        """Discard unsynced entries and return what is durable."""
        self._entries = list(self._synced)
        return StoredLog(self._vote, self._snapshot, self._synced)

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries, durable only after `sync`."""
        self._entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Drop entries from an index on, durable only after `sync`."""
        self._entries = [entry for entry in self._entries if entry.index < index]

    def sync(self) -> None:
        """Make all entries durable."""
        self._synced = tuple(self._entries)

    def save_vote(self, vote: Vote) -> None:
        """Make the vote durable at once."""
        self._vote = vote

    def save_snapshot(self, snapshot: Snapshot, kept: Sequence[Entry]) -> None:
        """Make the snapshot and the log after it durable at once."""
        self._snapshot = snapshot
        self._entries = list(kept)
        self.sync()


class KeeperMachine:
    """A keeper with its disk; each event returns the messages to send."""

    def __init__(self, keeper: str, seed: int) -> None:
        self._id = KeeperId(keeper)
        self._seed = seed
        self._disk = MemoryDisk()
        self._start(0.0)

    def _start(self, now: float) -> None:
        self._keeper = ConfigurationKeeper(self._id, self._disk, Random(self._seed), now)
        self._decided: dict[str, Verdict] = {}

    def form(self, members: Members) -> tuple[LogMessage, ...]:
        """Form a new log with these members."""
        self._keeper.form(members)
        return self._flush()

    def receive(self, message: LogMessage, now: float) -> tuple[LogMessage, ...]:
        """Handle a message from another keeper."""
        self._keeper.receive(message, now, LINEAGE)
        return self._flush()

    def advance(self, now: float) -> tuple[LogMessage, ...]:
        """Advance the keeper to the time `now`."""
        self._keeper.advance(now)
        return self._flush()

    def propose(self, change: Change, now: float) -> tuple[LogMessage, ...]:
        """Propose a change to the leader; `find_verdict` has its verdict once committed."""
        verdict = self._keeper.propose(change, now)
        if verdict is not None:
            self._decided[change.change_id] = verdict
        return self._flush()

    def admit(self, keeper: str, now: float) -> tuple[LogMessage, ...]:
        """Admit a keeper with an empty disk as a learner."""
        self._keeper.admit(KeeperId(keeper), f"{keeper}:1", True, now)
        return self._flush()

    def find_verdict(self, change_id: str) -> Verdict | None:
        """Return the verdict on a change that this keeper decided as leader."""
        return self._decided.get(change_id)

    def crash(self, now: float) -> None:
        """Lose all that is not durable and restart from the disk."""
        self._start(now)

    def wipe(self, keeper: str, now: float) -> None:
        """Restart on an empty disk, under another identity."""
        self._id = KeeperId(keeper)
        self._disk = MemoryDisk()
        self._start(now)

    def read_role(self) -> str:
        """Return the keeper's role in its term, such as `leader`."""
        return self._keeper.replica.role.value

    def read_revision(self) -> int:
        """Return the revision of the configuration that the keeper has applied."""
        return self._keeper.configuration.revision

    def _flush(self) -> tuple[LogMessage, ...]:
        output = self._keeper.flush()
        self._decided.update(output.verdicts)
        return output.messages


class RunJudge:
    """The demo's checks over a recorded run of real processes."""

    def __init__(self) -> None:
        self._tries: list[Try] = []
        self._records: list[LedgerRecord] = []

    def take_try(self, item: Try) -> None:
        """Add one attempt of a caller, with the answer that it got."""
        self._tries.append(item)

    def take_record(self, record: LedgerRecord) -> None:
        """Add one record of what a server did."""
        self._records.append(record)

    def count_tries(self) -> int:
        """Return how many tries were added."""
        return len(self._tries)

    def judge_answers(self) -> PromiseResult:
        """Check that every answer is whole and belongs to its request."""
        return promises.check_whole_answers(self._tries)

    def judge_runs(self) -> tuple[PromiseResult, ...]:
        """Check that entries ran at most once, none was lost, and `not run` is true."""
        return (
            promises.check_at_most_once(self._tries, self._records),
            promises.check_not_lost(self._tries, self._records),
            promises.check_not_run(self._tries, self._records),
        )

    def judge_stop(self, instance: str, stopped_at: float, exit_code: int | None) -> PromiseResult:
        """Check that a graceful stop cut off no request in flight."""
        return promises.check_graceful_stop(
            self._tries, self._records, instance, stopped_at, exit_code
        )


class TrafficMachine:
    """One entry's decisions for one service; calls identify a request by its id.

    Results hold only what a promise is about. They leave out which of several servers was chosen,
    so that a trace stays valid when placement changes.
    """

    def __init__(self, profile: Profile, domain: str, seed: int) -> None:
        self._traffic = ServiceTraffic(
            profile, FailureDomain(domain), Random(seed), ServiceName("shows"), InstanceId("i1"), 1
        )
        self._dispatches: dict[str, Dispatch] = {}

    def replace_servers(self, servers: Sequence[BackendServer], now: float) -> None:
        """Replace the known servers by the announced ones."""
        self._traffic.replace_servers(servers, now)

    def apply_ejections(self, ejections: EjectionSet, asked: float) -> None:
        """Apply an assessor's set; `asked` is when the entry requested it."""
        self._traffic.apply_ejections(ejections, asked)

    def offer(self, request: Request, now: float) -> str:
        """Offer a request; return `dispatch`, `wait` or the reason of the refusal."""
        decision = self._traffic.offer(request, now)
        if isinstance(decision, Dispatch):
            self._dispatches[request.request_id] = decision
            return "dispatch"
        return decision.reason.value if isinstance(decision, Refusal) else "wait"

    def finish(self, request_id: str, outcome: Outcome, now: float) -> None:
        """End the attempt of a dispatched request."""
        self._traffic.finish(self._dispatches[request_id], outcome, now)

    def advance(self, now: float) -> None:
        """Advance the entry to the time `now`."""
        self._traffic.advance(now)

    def was_given(self, server_id: str, request_ids: Sequence[str]) -> bool:
        """Return whether any of these requests was placed on the server."""
        placed = (self._dispatches.get(request_id) for request_id in request_ids)
        return any(item is not None and item.server.server_id == server_id for item in placed)

    def count_taking(self, now: float) -> int:
        """Return how many servers this entry gives work to."""
        return sum(status.taking_work for status in self._traffic.describe(now))

    def takes_work(self, server_id: str, now: float) -> bool:
        """Return whether this entry gives work to a server."""
        statuses = {item.server.server_id: item for item in self._traffic.describe(now)}
        found = statuses.get(ServerId(server_id))
        return found is not None and found.taking_work


class RegisterMachine:
    """One register of claims under a fixed roster."""

    def __init__(self, instance: str, boot: int, window: float, roster: Roster) -> None:
        self._register = Register(InstanceId(instance), boot, window, 0.0)
        self._register.replace_roster(roster)

    def claim(self, request: ClaimRequest, now: float) -> ClaimVote:
        """Return the full vote, as a claim's round receives it."""
        return self._register.claim(request, now)

    def judge(self, request: ClaimRequest, now: float) -> str:
        """Return only the kind of the vote; repeating a claim changes nothing."""
        return self._register.claim(request, now).kind.value

    def settle(self, settlement: Settlement, now: float) -> None:
        """Record how a request ended."""
        self._register.settle(settlement, now)


def _make_round(request: ClaimRequest, roster: Roster) -> ClaimRound:
    return ClaimRound(request, roster)


MACHINES: Final[Mapping[str, MachineKind]] = {
    "claim-round": MachineKind(_make_round, frozenset({"receive", "miss", "find_record"})),
    "configuration": MachineKind(Configuration, frozenset({"apply", "list_history"})),
    "keeper": MachineKind(
        KeeperMachine,
        frozenset(
            {
                "admit",
                "advance",
                "crash",
                "find_verdict",
                "form",
                "propose",
                "read_revision",
                "read_role",
                "receive",
                "wipe",
            }
        ),
    ),
    "register": MachineKind(RegisterMachine, frozenset({"claim", "judge", "settle"})),
    "run": MachineKind(
        RunJudge,
        frozenset(
            {"take_try", "take_record", "count_tries", "judge_answers", "judge_runs", "judge_stop"}
        ),
    ),
    "traffic": MachineKind(
        TrafficMachine,
        frozenset(
            {
                "advance",
                "apply_ejections",
                "count_taking",
                "finish",
                "offer",
                "replace_servers",
                "takes_work",
                "was_given",
            }
        ),
    ),
}


def make_machine(kind: str, arguments: Mapping[str, Any]) -> Any:
    """Construct a machine of a kind from its typed arguments."""
    return MACHINES[kind].make(**arguments)
