"""Applies the assessor's verdict at an entry instance: as a lease, and within the floor."""

from collections.abc import Iterable
from math import inf
from typing import Final

from persimmonusher_decisions.evidence_messages import Ejection, EjectionSet
from persimmonusher_decisions.floor import Candidate, apply_floor
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_model.identifiers import FailureDomain, ServerId

MAX_LEASE_SECONDS: Final = 10.0
"""Upper bound of a set's lease: the verdict of an assessor that is gone must lapse."""
HELD_BACK_PREFIX: Final = "looks ill, kept in place by the floor: "


class EjectionLease:
    """Holds at most one assessor's set, for as long as its lease runs.

    While instances disagree on membership, two assessors may act for one service, each within the
    floor. If both sets were applied, together they could violate it. So a set of another assessor
    is accepted only once the lease in force has lapsed, and the floor is applied again to each
    accepted set, with the servers that this instance knows.
    """

    def __init__(self, failure_domain: FailureDomain) -> None:
        self._failure_domain = failure_domain
        self._set: EjectionSet | None = None
        self._until = -inf

    def apply(self, ejections: EjectionSet, asked: float) -> bool:
        """Accept a set that was requested at `asked`; False if the one in force stays."""
        current = self._set
        if current is not None and asked < self._until:
            if ejections.assessor_id != current.assessor_id:
                return False
            if ejections.freshness <= current.freshness:
                return False
        self._set = ejections
        self._until = asked + min(MAX_LEASE_SECONDS, ejections.lease_seconds)
        return True

    def expire(self, now: float) -> bool:
        """Drop the set if its lease has expired; return whether it was dropped."""
        if self._set is None or now < self._until:
            return False
        self._set = None
        return True

    @property
    def assessor(self) -> str:
        """Return the id of the assessor whose set is in force; empty for none."""
        return self._set.assessor_id if self._set else ""

    def mark(self, tracks: Iterable[ServerTrack], floor_percent: int, now: float) -> None:
        """Mark the servers that the set ejects, as far as the floor allows.

        A server that returns begins its ramp.
        """
        known = list(tracks)
        named = self._list_named()
        ready = {track.server_id: track.slots for track in known if track.is_ready}
        candidates = [Candidate(name, item.strength) for name, item in named.items()]
        ejected = set(apply_floor(candidates, ready, floor_percent).ejected)
        for track in known:
            ejection = named.get(track.server_id)
            state = ejection.state if ejection and track.server_id in ejected else None
            if state is None and track.ejection_state is not None:
                track.ramp_from = now
            track.ejection_state = state
            track.reason = ""
            if ejection:
                track.reason = ejection.reason if state else HELD_BACK_PREFIX + ejection.reason

    def _list_named(self) -> dict[ServerId, Ejection]:
        if self._set is None:
            return {}
        mine = self._failure_domain
        return {item.server_id: item for item in self._set.ejections if item.seen_from == mine}
