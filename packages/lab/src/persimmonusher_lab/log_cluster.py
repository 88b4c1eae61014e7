"""Keepers of one log in memory, whose disks lose unsynced writes, and entries that pull from them.

The cluster carries out one event at a time and checks the invariants when it flushes a keeper. The
caller decides which message is delivered when: the schedule in virtual time, or Hypothesis.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.configuration_keeper import (
    DEFAULT_TOLERANCE,
    ConfigurationKeeper,
    KeeperOutput,
    LossTolerance,
)
from persimmonusher_agreement.configuration_objects import Change, ObjectKey, ObjectKind, Verdict
from persimmonusher_agreement.configuration_store import ConfigurationStore
from persimmonusher_agreement.keeper_members import form_members
from persimmonusher_agreement.log_messages import KeeperId, LogMessage, find_instance
from persimmonusher_agreement.log_storage import StorageError
from persimmonusher_agreement.log_timing import LogTiming
from persimmonusher_lab.log_disk import MemoryDisk
from persimmonusher_lab.log_invariants import LogInvariants
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import Revision

TIMING = LogTiming(heartbeat_seconds=0.2, election_timeout_seconds=1.0, snapshot_retry_seconds=1.0)

ANSWER_NUMBERS_PER_START: Final = 1_000_000

NO_OUTPUT: Final = KeeperOutput("", (), {})


@dataclass
class SimulatedKeeper:
    """One instance with its disk; `running` is None while it is down."""

    identity: KeeperId
    disk: MemoryDisk = field(default_factory=MemoryDisk)
    running: ConfigurationKeeper | None = None
    disks: int = 1
    starts: int = 0
    clock_offset: float = 0.0


class LogCluster:
    """The keepers `k1` to `kN`, the changes proposed to them, and the invariants."""

    def __init__(
        self,
        seed: int,
        size: int = 3,
        snapshot_entries: int = 8,
        tolerance: LossTolerance = DEFAULT_TOLERANCE,
    ) -> None:
        self._tolerance = tolerance
        self.random = Random(seed)
        self.invariants = LogInvariants()
        self.changes: dict[str, Change] = {}
        self.entries = [ConfigurationStore(), ConfigurationStore()]
        self._snapshot_entries = snapshot_entries
        names = [f"k{number}" for number in range(1, size + 1)]
        self.keepers = {name: SimulatedKeeper(KeeperId(f"{name}#1")) for name in names}
        for name in names:
            self.start(name, 0.0)
        self.logs_formed = 0
        self.form_if_empty()

    # Events

    def start(self, name: str, now: float) -> None:
        """Start a keeper from what its disk holds."""
        keeper = self.keepers[name]
        keeper.starts += 1
        keeper.running = ConfigurationKeeper(
            keeper.identity,
            keeper.disk,
            self.random,
            now + keeper.clock_offset,
            TIMING,
            self._snapshot_entries,
            Configuration(verdicts_kept=10_000),
            tolerance=self._tolerance,
            first_answer=keeper.starts * ANSWER_NUMBERS_PER_START,
        )

    def crash(self, name: str) -> None:
        """Stop a keeper; what its disk has not synced is lost."""
        self.keepers[name].running = None

    def wipe(self, name: str) -> None:
        """Replace a keeper's disk by an empty one; the keeper gets another identity."""
        keeper = self.keepers[name]
        keeper.running = None
        keeper.disk = MemoryDisk()
        keeper.disks += 1
        keeper.identity = KeeperId(f"{name}#{keeper.disks}")

    def deliver(self, message: LogMessage, lineage: str, now: float) -> None:
        """Deliver a message to its target, without the flush that follows."""
        name = find_instance(message.target)
        running = self.keepers[name].running
        clock = self.read_clock(name, now)
        if running is not None:
            self._attempt(name, lambda: running.receive(message, clock, lineage))

    def advance(self, name: str, now: float) -> None:
        """Advance a keeper to its clock's time at `now`, without the flush that follows."""
        running = self.keepers[name].running
        if running is not None:
            self._attempt(name, lambda: running.advance(self.read_clock(name, now)))

    def propose(self, name: str, change: Change, now: float) -> Verdict | None:
        """Propose a change to a keeper; None if it has no verdict yet, doesn't lead or is down."""
        self.changes[change.change_id] = change
        running = self.keepers[name].running
        if running is None:
            return None
        try:
            verdict = running.propose(change, self.read_clock(name, now))
        except StorageError:
            self.crash(name)
            return None
        except UsherError:
            return None
        if verdict is not None:
            self.invariants.check_verdicts({change.change_id: verdict})
        return verdict

    def flush(self, name: str) -> KeeperOutput:
        """Flush a keeper, check it, and return its output; a failed disk stops it."""
        keeper = self.keepers[name]
        if keeper.running is None:
            return NO_OUTPUT
        try:
            output = keeper.running.flush()
        except StorageError:
            self.crash(name)
            return NO_OUTPUT
        self.invariants.check_keeper(keeper.running)
        self.invariants.check_verdicts(output.verdicts)
        return output

    def pull(self, entry: int, name: str) -> None:
        """Let an entry pull what a keeper has committed, and check every record of it."""
        running = self.keepers[name].running
        if running is None:
            return
        store = self.entries[entry]
        before = store.revision
        batch = running.configuration.collect_since(before)
        for record in batch.records:
            self.invariants.check_record(record)
        store.apply_batch(batch)
        assert store.revision >= before, "the revision of an entry went down"

    def form_if_empty(self) -> None:
        """Form the log on the first keeper if all run and none holds one, as formation does.

        If the tolerance limits the voters, only that many keepers are founders; the others are
        spares that join as learners.
        """
        running = list(self.list_running())
        empty = [keeper for keeper in running if not keeper.replica.log.members.members]
        if len(empty) < len(self.keepers):
            return
        self.logs_formed += 1
        self.invariants.begin_log()
        founders = list(self.keepers.items())[: self._tolerance.voters]
        identities = {keeper.identity: name for name, keeper in founders}
        empty[0].form(form_members(f"fleet{self.logs_formed}", identities))

    def admit_missing(self, now: float) -> None:
        """Let the leader admit running keepers that are no members, as joining does."""
        leader = self.find_leader()
        if leader is None or leader.has_pending_members():
            return
        for name, keeper in self.keepers.items():
            if keeper.running and leader.replica.log.members.find(keeper.identity) is None:
                try:
                    leader.admit(keeper.identity, name, True, self.read_clock(name, now))
                except UsherError:
                    return

    # Queries

    def read_clock(self, name: str, now: float) -> float:
        """Return the time as a keeper's own clock shows it."""
        return now + self.keepers[name].clock_offset

    def find_leader(self) -> ConfigurationKeeper | None:
        """Return the ready leader of the highest term, or None."""
        leaders = [k for k in self.list_running() if k.replica.is_ready_leader]
        return max(leaders, key=lambda keeper: keeper.replica.term, default=None)

    def list_running(self) -> Iterable[ConfigurationKeeper]:
        """List the keepers that run."""
        return [k.running for k in self.keepers.values() if k.running is not None]

    def make_change(
        self,
        number: int,
        operator: str,
        name: str = "",
        shown: ConfigurationKeeper | None = None,
    ) -> Change:
        """Return a change of the profile `name`, or of one of three at random.

        It is based on the revision that `shown` holds, or else a running keeper chosen at random.
        """
        key = ObjectKey(ObjectKind.PROFILE, name or f"p{self.random.randrange(3)}")
        shown = shown or self.random.choice(list(self.list_running()) or [None])
        live = shown.configuration.store.find_live(key) if shown else None
        body = json.dumps({"ramp_ms": number})
        based_on = live.revision if live else Revision(0)
        return Change(f"{operator}-{number}", operator, key, based_on, body)

    def _attempt(self, name: str, event: Callable[[], None]) -> None:
        try:
            event()
        except StorageError:
            self.crash(name)
