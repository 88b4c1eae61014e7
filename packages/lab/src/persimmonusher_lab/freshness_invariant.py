"""What a keeper says of its freshness, held against what was acknowledged."""

from bisect import bisect_left
from collections.abc import Mapping

from persimmonusher_agreement.configuration_keeper import ConfigurationKeeper
from persimmonusher_agreement.configuration_objects import Accepted, Verdict
from persimmonusher_lab.log_invariants import InvariantError
from persimmonusher_model.identifiers import Revision


class FreshnessInvariant:
    """A keeper holds all that was acknowledged longer ago than the age that it states.

    A change counts as acknowledged from the first verdict of any keeper.
    """

    def __init__(self) -> None:
        self._times: list[float] = []
        self._revisions: list[Revision] = []
        """The newest revision that was acknowledged by each of the times."""
        self._known: set[str] = set()

    def note_verdicts(self, verdicts: Mapping[str, Verdict], now: float) -> None:
        """Take the verdicts that a keeper gives now."""
        for change_id, verdict in verdicts.items():
            if not isinstance(verdict, Accepted) or change_id in self._known:
                continue
            self._known.add(change_id)
            newest = max([verdict.revision, *self._revisions[-1:]])
            self._times.append(now)
            self._revisions.append(newest)

    def check_keeper(self, keeper: ConfigurationKeeper, now: float) -> None:
        """Check one keeper, whose clock must show the same time."""
        age = keeper.replica.find_majority_age(now)
        due = bisect_left(self._times, now - age)
        held = keeper.configuration.revision
        if due and self._revisions[due - 1] > held:
            raise InvariantError(
                f"{now:.3f} s: {keeper.replica.keeper} states an age of {age:.3f} s and holds "
                f"revision {held}, not {self._revisions[due - 1]}"
            )
