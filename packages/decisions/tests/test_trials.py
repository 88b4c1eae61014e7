"""Trials of suspected servers: who sends them, when, and how many."""

import unittest
from collections.abc import Sequence
from random import Random

from decisions_helpers import FAILED, GOOD, SERVICE, dispatched, make_request, make_traffic

from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.trials import (
    BACKUP_DELAY_SECONDS,
    FAR_DELAY_SECONDS,
    MAX_CREDIT,
    TRIAL_SHARE,
    TrialSchedule,
)
from persimmonusher_model.identifiers import ServerId
from persimmonusher_model.profile import Profile

PROFILE = Profile(suspect_ms=2_000)
SUSPECT_SECONDS = 2.0
FAR_PROFILE = PROFILE.model_copy(update={"far_load_percent": 80})


def fail(traffic: ServiceTraffic, number: int, now: float) -> None:
    name = ServerId(f"s{number}")
    traffic.apply_notice(Notice(NoticeKind.FAILED, SERVICE, name, 1), now)


def list_servers(traffic: ServiceTraffic, times: Sequence[float], idempotent: bool) -> list[str]:
    """Return the servers of one request at each time, each answered at once."""
    servers = []
    for now in times:
        request = make_request(f"q{now}", now, idempotent=idempotent)
        dispatch = dispatched(traffic.offer(request, now))
        servers.append(dispatch.server.server_id)
        traffic.finish(dispatch, GOOD, now)
    return servers


class TrialTest(unittest.TestCase):
    # Guards against a recovered server that stays idle since each instance leaves it to others.
    def test_the_instance_whose_request_failed_tries_the_server_first(self) -> None:
        traffic = make_traffic(6, PROFILE, live=48)
        sent = dispatched(traffic.offer(make_request("r"), 0.0))
        traffic.finish(sent, FAILED, 0.0)
        times = [SUSPECT_SECONDS + 0.1 * step for step in range(-10, 5)]
        chosen = list_servers(traffic, times, idempotent=True)
        self.assertNotIn(sent.server.server_id, chosen[:10])
        self.assertIn(sent.server.server_id, chosen[10:])

    # Guards against trials by all instances at once.
    def test_instances_that_hear_of_the_failure_try_the_server_later(self) -> None:
        tried = 0
        for number in range(48):
            schedule = TrialSchedule(Random(number))
            schedule.replace_entry_count(48)
            track = ServerTrack(make_traffic(1).describe(0.0)[0].server, 0.0)
            track.trials_from = 0.0
            schedule.schedule(track, is_own=False)
            tried += BACKUP_DELAY_SECONDS <= track.trial_at < BACKUP_DELAY_SECONDS + 5.0
        self.assertTrue(1 <= tried <= 10, tried)

    # Guards against answers to trials that cross failure domains without need.
    def test_instances_in_other_domains_wait_for_near_ones(self) -> None:
        for domain, least in {"d0": 0.0, "d1": FAR_DELAY_SECONDS}.items():
            with self.subTest(domain=domain):
                traffic = make_traffic(1, FAR_PROFILE, domain=domain)
                fail(traffic, 0, 0.0)
                track = traffic._tracks[ServerId("s0")]
                waited = track.trial_at - SUSPECT_SECONDS - BACKUP_DELAY_SECONDS
                self.assertGreaterEqual(waited, least)

    # Guards against entries lost on trials while lookups, which can be retried, are there.
    def test_only_lookups_are_trials_while_there_are_any(self) -> None:
        traffic = make_traffic(6, PROFILE)
        list_servers(traffic, [4.9], idempotent=True)
        fail(traffic, 0, 0.0)
        times = [5.0 + 0.05 * step for step in range(20)]
        self.assertNotIn("s0", list_servers(traffic, times, idempotent=False))
        self.assertIn("s0", list_servers(traffic, [6.1], idempotent=True))

    # Guards against a service whose requests go mostly to failing servers.
    def test_trials_are_a_small_part_of_the_requests(self) -> None:
        schedule = TrialSchedule(Random(1))
        tracks = [
            ServerTrack(status.server, 0.0) for status in make_traffic(50, PROFILE).describe(0.0)
        ]
        for track in tracks:
            track.trial_at, track.suspect_until = 0.0, 1_000.0
        requests, tried = 200, 0
        for number in range(requests):
            schedule.earn()
            tried += schedule.choose(tracks, 0.1 * number) is not None
        self.assertLessEqual(tried, MAX_CREDIT + TRIAL_SHARE * requests)


if __name__ == "__main__":
    unittest.main()
