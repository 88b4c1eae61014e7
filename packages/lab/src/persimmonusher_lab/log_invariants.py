"""Invariants of the keepers' log that hold after every step, whatever failed."""

from collections.abc import Mapping

from persimmonusher_agreement.configuration_keeper import ConfigurationKeeper
from persimmonusher_agreement.configuration_objects import Accepted, Change, Record, Verdict
from persimmonusher_agreement.log_messages import Command, Entry, KeeperId
from persimmonusher_model.identifiers import Revision


class InvariantError(AssertionError):
    """A promise of the log was broken; the message says which and where."""


class LogInvariants:
    """Records everything that was observed and compares each step with it.

    Checked: one leader for each term; entries of equal index and term are equal and have equal
    predecessors; what is committed never changes and every later leader holds it; a change id has
    one verdict; a revision has one record.
    """

    def __init__(self) -> None:
        self.checks = 0
        self.leaders: dict[int, KeeperId] = {}
        self.committed: dict[int, Entry] = {}
        self.verdicts: dict[str, Verdict] = {}
        self.records: dict[Revision, Record] = {}
        self._entries: dict[tuple[int, int], tuple[Command, int | None]] = {}
        self._seen: dict[KeeperId, tuple[int, int, int, int]] = {}

    def check_keeper(self, keeper: ConfigurationKeeper) -> None:
        """Check one keeper after a step."""
        self.checks += 1
        replica = keeper.replica
        if replica.is_leader:
            self._check_leader(keeper)
        log = replica.log
        seen = (log.base_index, log.last_index, log.last_term, replica.commit)
        if self._seen.get(replica.keeper) != seen:
            self._seen[replica.keeper] = seen
            self._check_log(keeper)

    def begin_log(self) -> None:
        """Record that a log is formed; fail if a change was decided in an earlier log."""
        if self.verdicts:
            self._fail("a new log was formed although changes had been decided")
        self.leaders.clear()
        self.committed.clear()
        self._entries.clear()
        self._seen.clear()

    def _check_leader(self, keeper: ConfigurationKeeper) -> None:
        replica = keeper.replica
        known = self.leaders.get(replica.term)
        if known is None:
            self.leaders[replica.term] = replica.keeper
            self._check_completeness(keeper)
        elif known != replica.keeper:
            self._fail(f"term {replica.term} has two leaders: {known} and {replica.keeper}")

    def _check_completeness(self, keeper: ConfigurationKeeper) -> None:
        log = keeper.replica.log
        for index, entry in self.committed.items():
            is_expected = entry.term <= keeper.replica.term and index > log.base_index
            if is_expected and log.find_term(index) != entry.term:
                self._fail(
                    f"{keeper.replica.keeper} leads term {keeper.replica.term} without the "
                    f"committed entry {index} of term {entry.term}"
                )

    def _check_log(self, keeper: ConfigurationKeeper) -> None:
        log = keeper.replica.log
        for entry in log.list_from(log.base_index + 1):
            previous = log.find_term(entry.index - 1)
            known = self._entries.setdefault((entry.index, entry.term), (entry.command, previous))
            if known != (entry.command, previous):
                self._fail(f"entry {entry.index} of term {entry.term} differs between two logs")
            if entry.index <= keeper.replica.commit:
                self._check_committed(keeper.replica.keeper, entry)

    def _check_committed(self, keeper: KeeperId, entry: Entry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            self._fail(f"{keeper} committed another entry {entry.index} than was committed before")

    def check_verdicts(self, verdicts: Mapping[str, Verdict]) -> None:
        """Check that verdicts equal those that any keeper gave before on the same changes."""
        for change_id, verdict in verdicts.items():
            known = self.verdicts.setdefault(change_id, verdict)
            if known != verdict:
                self._fail(f"change {change_id} was given {known} and then {verdict}")

    def check_record(self, record: Record) -> None:
        """Check that a record equals the one seen before at its revision."""
        known = self.records.setdefault(record.revision, record)
        if known != record:
            self._fail(f"revision {record.revision} is {known} and also {record}")

    def check_end(self, keeper: ConfigurationKeeper, changes: Mapping[str, Change]) -> None:
        """Check that a caught-up keeper holds every verdict, and that revisions have no gaps."""
        for change_id, verdict in self.verdicts.items():
            if keeper.configuration.find_verdict(changes[change_id]) != verdict:
                self._fail(f"the verdict on {change_id} was lost: {verdict}")
        accepted = [v.revision for v in self.verdicts.values() if isinstance(v, Accepted)]
        if sorted(accepted) != list(range(1, len(accepted) + 1)):
            self._fail(f"accepted revisions have gaps or repeat: {sorted(accepted)}")

    def _fail(self, message: str) -> None:
        raise InvariantError(message)
