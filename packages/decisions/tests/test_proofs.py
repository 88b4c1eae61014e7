"""Lookups of a busy service, which try suspected servers."""

import unittest
from dataclasses import replace
from random import Random

from decisions_helpers import make_server

from persimmonusher_decisions.failure_memory import FailureMemory
from persimmonusher_decisions.placement import Placement
from persimmonusher_decisions.rate_limits import RateLimits
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.trials import TrialSchedule
from persimmonusher_model.identifiers import FailureDomain, ServerId

HERE, ELSEWHERE = FailureDomain("north"), FailureDomain("south")
NOW = 10.0


def make_track(number: int, domain: FailureDomain, suspected_at: float | None) -> ServerTrack:
    """Return a track of a full server, or of one that failed at a time and is idle since then."""
    track = ServerTrack(replace(make_server(number), failure_domain=domain), 0.0)
    track.connection_limit = 100
    if suspected_at is None:
        track.outstanding = 2 * track.slots
    else:
        track.suspected_at = suspected_at
        track.trials_from = suspected_at + 2.0
        track.suspect_until = NOW + 5.0
    return track


def choose(*tracks: ServerTrack) -> ServerId:
    placement = Placement(
        HERE, Random(1), RateLimits(Random(1)), TrialSchedule(Random(1)), FailureMemory()
    )
    placement.replace(tracks, NOW)
    chosen = placement.choose(True, None, NOW)
    assert chosen is not None
    return chosen.server_id


class ProofTest(unittest.TestCase):
    def setUp(self) -> None:
        self.full = make_track(0, HERE, None)
        self.far = make_track(1, ELSEWHERE, 1.0)

    def test_a_lookup_tries_a_near_server_first(self) -> None:
        """Guards against all failure domains trying the same suspected server.

        If lookups of every domain went to the server whose failure is the longest ago, large
        answers would cross domains, and most lookups would meet the same fault.
        """
        self.assertEqual(choose(self.full, self.far, make_track(2, HERE, 3.0)), "s2")

    def test_without_a_near_one_it_tries_one_elsewhere(self) -> None:
        self.assertEqual(choose(self.full, self.far), "s1")

    def test_a_near_one_that_has_just_failed_is_left_alone(self) -> None:
        self.assertEqual(choose(self.full, self.far, make_track(2, HERE, NOW - 1.0)), "s1")


if __name__ == "__main__":
    unittest.main()
