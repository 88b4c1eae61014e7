"""One keeper: its replica of the log, and the configuration that results from the log.

Without network or clock, like the replica. The owner calls `flush` after each batch of events and
sends the messages of the result; on a StorageError it discards the keeper and starts a new one
from the disk.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Final

from persimmonusher_agreement.change_check import check_change
from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.configuration_objects import Change, Invalid, Verdict
from persimmonusher_agreement.keeper_members import (
    SILENT_VOTER_SECONDS,
    add_learner,
    plan_promotion,
    remove_keeper,
)
from persimmonusher_agreement.log_messages import KeeperId, LogMessage, Members, Snapshot
from persimmonusher_agreement.log_replica import LogReplica, ReplicaRole
from persimmonusher_agreement.log_storage import LogStorage
from persimmonusher_agreement.log_timing import LogTiming
from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_model.identifiers import Revision

SNAPSHOT_ENTRIES: Final = 4_096
"""Entries between snapshots: about a dozen snapshots a day at the target's 47,000 changes."""


@dataclass(frozen=True)
class KeeperOutput:
    """The result of a flush: messages to send, and verdicts on changes that it committed."""

    lineage: str
    """The id of the log that the messages belong to; empty while the keeper holds no log."""
    messages: tuple[LogMessage, ...]
    verdicts: Mapping[str, Verdict]
    """By change id."""


@dataclass(frozen=True)
class KeeperStatus:
    """A keeper's state as operators see it."""

    keeper: KeeperId
    role: ReplicaRole
    term: int
    leader: KeeperId | None
    leader_address: str | None
    last_index: int
    commit_index: int
    snapshot_index: int
    revision: Revision
    members: Members


@dataclass(frozen=True)
class ReadTicket:
    """A read that waits until the leader is confirmed; it returns the state at `index` or later."""

    term: int
    round: int
    index: int


@dataclass(frozen=True)
class LossTolerance:
    """How many copies and voters the fleet needs, given how many disks may be lost at once."""

    copies: int = 1
    """Synced copies that an acknowledgement needs at least, in addition to a majority."""
    voters: int | None = None
    """Number of voters to have; None makes every keeper a voter that asks to be one."""

    @classmethod
    def for_losses(cls, losses: int) -> "LossTolerance":
        """Return what keeps every acknowledged change when `losses` disks are lost at once."""
        return cls(copies=losses + 1, voters=2 * losses + 1)


DEFAULT_TOLERANCE: Final = LossTolerance()


class ConfigurationKeeper:
    """Accepts changes as leader, replicates them, and holds the resulting configuration.

    `first_answer` must differ at each start, far from the former values: see `KeeperFreshness`.
    """

    def __init__(
        self,
        keeper: KeeperId,
        storage: LogStorage,
        random: Random,
        now: float,
        timing: LogTiming = LogTiming(),  # noqa: B008 - frozen
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        configuration: Configuration | None = None,
        compacts_on_flush: bool = True,
        tolerance: LossTolerance = DEFAULT_TOLERANCE,
        first_answer: int = 1,
    ) -> None:
        self._replica = LogReplica(
            keeper, storage, timing, random, now, tolerance.copies, first_answer
        )
        self._tolerance = tolerance
        self._snapshot_entries = snapshot_entries
        self._compacts_on_flush = compacts_on_flush
        self.configuration = configuration or Configuration()
        self._applied = 0
        self._verdicts: dict[str, Verdict] = {}
        self._apply_installed()

    @property
    def replica(self) -> LogReplica:
        """Return the log's replica; the caller must not change it."""
        return self._replica

    def receive(self, message: LogMessage, now: float, lineage: str = "") -> None:
        """Process a message of another keeper; one of another log is dropped.

        Guards against a log that was formed, lost before anything was committed, and formed anew:
        late messages of the first log have indexes and terms of the second, but other entries.
        """
        own = self._replica.log.members.lineage
        if not own or not lineage or lineage == own:
            self._replica.receive(message, now)

    def advance(self, now: float) -> None:
        """Run the timers, and as leader propose the next step of a change of keepers."""
        self._replica.advance(now)
        if not self._replica.is_ready_leader or self.has_pending_members():
            return
        step = plan_promotion(
            self._replica.log.members,
            self._replica.list_caught_up(),
            self._replica.list_silent(now, SILENT_VOTER_SECONDS),
            self._tolerance.voters,
        )
        if step is not None:
            self._replica.propose(step, now)

    def propose(self, change: Change, now: float) -> Verdict | None:
        """Propose a change as leader; return None if its verdict comes with a later flush.

        Any keeper answers the resend of a decided change from the replicated verdicts. Any other
        change needs the leader: raises NOT_LEADER elsewhere.
        """
        stored = self.configuration.find_verdict(change)
        if stored is not None:
            return stored
        if not self._replica.is_leader:
            raise UsherError(ErrorCode.NOT_LEADER, f"{self._replica.keeper} is not the leader")
        findings = check_change(change)
        if findings:
            return Invalid(findings)
        self._replica.propose(change, now)
        return None

    def form(self, members: Members) -> None:
        """Begin a new log with these members; raise CONFLICT if there is a log already."""
        self._replica.form(form_first_snapshot(members))

    def admit(
        self, keeper: KeeperId, address: str, promote: bool, now: float, domain: str = ""
    ) -> None:
        """Add a keeper that asks to join as a learner; leader only.

        Raises NOT_LEADER elsewhere, and UNAVAILABLE while an earlier change of keepers isn't
        committed.
        """
        members = add_learner(self._replica.log.members, keeper, address, promote, domain)
        if members is not None:
            self._replica.propose(members, now)

    def dismiss(self, keeper: KeeperId, now: float) -> None:
        """Remove a keeper for good; leader only."""
        members = remove_keeper(self._replica.log.members, keeper)
        if members is None:
            raise UsherError(ErrorCode.NOT_FOUND, f"{keeper} is no keeper, or is the last one")
        self._replica.propose(members, now)

    def start_read(self, now: float) -> ReadTicket:
        """Begin a read of the latest committed state; leader only."""
        index = self._replica.commit
        return ReadTicket(self._replica.term, self._replica.start_read(now), index)

    def is_confirmed(self, ticket: ReadTicket) -> bool:
        """Return whether the read may be answered from the configuration here.

        Guards against a leader that was deposed while it was cut off and would return an old state
        as the latest: a majority has to answer a heartbeat sent after the read began.
        """
        if ticket.term != self._replica.term or self._applied < ticket.index:
            return False
        return self._replica.is_confirmed(ticket.round)

    def flush(self) -> KeeperOutput:
        """Make everything durable, apply committed entries, and return messages and verdicts."""
        messages = self._replica.flush()
        self._apply_installed()
        for entry in self._replica.pop_committed():
            self._applied = entry.index
            if isinstance(entry.command, Change):
                self._verdicts[entry.command.change_id] = self.configuration.apply(entry.command)
        snapshot = self.capture_if_due() if self._compacts_on_flush else None
        if snapshot is not None:
            self.compact(snapshot)
        verdicts, self._verdicts = self._verdicts, {}
        return KeeperOutput(self._replica.log.members.lineage, messages, verdicts)

    def describe(self) -> KeeperStatus:
        """Return the keeper's state for operators."""
        replica = self._replica
        leader = replica.log.members.find(replica.leader) if replica.leader else None
        return KeeperStatus(
            replica.keeper,
            replica.role,
            replica.term,
            replica.leader,
            leader.address if leader else None,
            replica.log.last_index,
            replica.commit,
            replica.log.base_index,
            self.configuration.revision,
            replica.log.members,
        )

    def has_pending_members(self) -> bool:
        """Return whether a change of keepers is not committed yet."""
        return self._replica.log.members_index > self._replica.commit

    def _apply_installed(self) -> None:
        snapshot = self._replica.pop_installed()
        if snapshot is not None:
            self.configuration.restore(snapshot.state)
            self._applied = snapshot.index

    def capture_if_due(self) -> Snapshot | None:
        """Capture a snapshot of the applied state if enough entries were applied since the last."""
        log = self._replica.log
        if self._applied - log.base_index < self._snapshot_entries:
            return None
        term = log.find_term(self._applied)
        assert term is not None
        members = log.find_members_at(self._applied)
        return Snapshot(self._applied, term, members, self.configuration.capture())

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the log up to a captured snapshot by it, unless a later one is in place."""
        if snapshot.index > self._replica.log.base_index:
            self._replica.compact(snapshot)


def form_first_snapshot(members: Members) -> Snapshot:
    """Return the snapshot that a new log begins with; it is the same on every founding keeper."""
    return Snapshot(1, 1, members, Configuration(members.lineage).capture())
