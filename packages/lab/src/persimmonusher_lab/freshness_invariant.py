"""Checks the age that a keeper states for its configuration against the acknowledged changes."""

from bisect import bisect_left
from collections.abc import Mapping

from persimmonusher_agreement.configuration_keeper import ConfigurationKeeper
from persimmonusher_agreement.configuration_objects import Accepted, Verdict
from persimmonusher_lab.log_invariants import InvariantError
from persimmonusher_model.identifiers import Revision


class FreshnessInvariant:
    """A keeper holds every change that was acknowledged longer ago than the age that it states.

    A change counts as acknowledged from the first verdict of any keeper.
    """

    def __init__(self) -> None:
        self._times: list[float] = []
        self._revisions: list[Revision] = []
        """The newest revision that was acknowledged by each of `_times`."""
        self._known: set[str] = set()

    def note_verdicts(self, verdicts: Mapping[str, Verdict], now: float) -> None:
        """Record the verdicts that a keeper gives now."""
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
        expected_count = bisect_left(self._times, now - age)
        held = keeper.configuration.revision
        if expected_count and self._revisions[expected_count - 1] > held:
            raise InvariantError(
                f"{now:.3f} s: {keeper.replica.keeper} states an age of {age:.3f} s and holds "
                f"revision {held}, not {self._revisions[expected_count - 1]}"
            )
