"""Which entries are in touch with the keepers, by the faults that a run has injected.

A change has to be in force within a bound at entries in touch only. An entry is in touch if, for
some seconds, it ran undisturbed, the keepers were stable, and it had a way in both directions to
each keeper that reaches a majority.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import combinations
from typing import Final

STABLE_SECONDS: Final = 3.0
"""Time after a fault or its end until the keepers count as stable and a process as in touch."""
IN_FORCE_SECONDS: Final = 2.0
"""Time within which an acknowledged change must be in force, while the keepers are stable."""
UNSTABLE_SECONDS: Final = 5.0
"""Time by which keepers that aren't stable extend it, while most of them run and are connected."""

Way = tuple[str, str]
"""The names of a source and a target: one direction between two processes."""


@dataclass(frozen=True)
class FleetState:
    """What was cut and which processes didn't run, from a moment on until the next state."""

    at: float
    cut: frozenset[Way] = frozenset()
    stopped: frozenset[str] = frozenset()

    def connects(self, one: str, other: str) -> bool:
        """Return whether both processes run and reach each other."""
        if self.stopped & {one, other}:
            return False
        return not self.cut & {(one, other), (other, one)}


class FaultRecord:
    """All faults of a run.

    >>> record = FaultRecord(("k1", "k2", "k3"))
    >>> record.set_cut(10.0, {("k1", "k2"), ("k1", "k3"), ("k2", "k3")})
    >>> record.set_cut(14.0, ())
    >>> record.find_bound("e1", acknowledged_at=9.0, sent_at=12.0)
    >>> record.find_bound("e1", acknowledged_at=15.0, sent_at=18.5)
    2.0
    """

    def __init__(self, keepers: Collection[str]) -> None:
        self._keepers = frozenset(keepers)
        self._states = [FleetState(float("-inf"))]
        self._disturbed: list[tuple[float, str]] = []

    def set_cut(self, at: float, ways: Iterable[Way]) -> None:
        """Record that from a moment on nothing passes on these ways, and everything on others."""
        self._add(at, frozenset(ways), self._states[-1].stopped)

    def stop(self, at: float, name: str) -> None:
        """Record that a process was paused or killed."""
        self._add(at, self._states[-1].cut, self._states[-1].stopped | {name})
        self.disturb(at, name)

    def start(self, at: float, name: str) -> None:
        """Record that a process runs again."""
        self._add(at, self._states[-1].cut, self._states[-1].stopped - {name})
        self.disturb(at, name)

    def disturb(self, at: float, name: str) -> None:
        """Record that a process was disturbed at a moment, as by a reset of its connections."""
        self._disturbed.append((at, name))

    def find_bound(self, entry: str, acknowledged_at: float, sent_at: float) -> float | None:
        """Return within which time the change must be in force for a request to an entry.

        None if it doesn't have to be.
        """
        since = sent_at - STABLE_SECONDS
        if not self._is_undisturbed(entry, since, sent_at):
            return None
        if self._is_stable(since, sent_at):
            return IN_FORCE_SECONDS
        if all(map(self._has_majority, self._list_states(acknowledged_at, sent_at))):
            return IN_FORCE_SECONDS + UNSTABLE_SECONDS
        return None

    def _add(self, at: float, cut: frozenset[Way], stopped: frozenset[str]) -> None:
        self._states.append(FleetState(at, cut, stopped))

    def _list_states(self, since: float, until: float) -> list[FleetState]:
        """List the states of a time, the first of which began before it."""
        first = max(i for i, state in enumerate(self._states) if state.at <= since)
        return [state for state in self._states[first:] if state.at <= until]

    def _is_undisturbed(self, entry: str, since: float, until: float) -> bool:
        if any(name == entry and since <= at <= until for at, name in self._disturbed):
            return False
        return all(
            state.connects(entry, keeper)
            for state in self._list_states(since, until)
            for keeper in self._keepers - state.stopped
            if self._reaches_majority(state, keeper)
        )

    def _is_stable(self, since: float, until: float) -> bool:
        """Return whether nothing happened to the keepers and most of them reach each other."""
        if any(name in self._keepers and since <= at <= until for at, name in self._disturbed):
            return False
        states = self._list_states(since, until)
        among = {frozenset(self._list_cut_among_keepers(state)) for state in states}
        return len(among) == 1 and self._has_majority(states[-1])

    def _list_cut_among_keepers(self, state: FleetState) -> list[Way]:
        return [way for way in state.cut if self._keepers.issuperset(way)]

    def _reaches_majority(self, state: FleetState, keeper: str) -> bool:
        reached = [one for one in self._keepers if one == keeper or state.connects(one, keeper)]
        return len(reached) > len(self._keepers) // 2

    def _has_majority(self, state: FleetState) -> bool:
        size = len(self._keepers) // 2 + 1
        return any(
            all(state.connects(one, other) for one, other in combinations(group, 2))
            for group in combinations(sorted(self._keepers - state.stopped), size)
        )
