"""Heavy days in virtual time: what callers get while servers shed, ail, or can't be reached."""

import unittest
from dataclasses import replace
from math import inf
from unittest.mock import patch

from decisions_helpers import GOOD, SERVICE, dispatched, make_request, make_traffic
from fleet_simulation import FleetSimulation, Load, Served
from heavy_loads import (
    HANGING_BURSTS,
    HANGING_ENTRIES,
    HANGING_LOOKUPS,
    HANGING_PROFILE,
    LOOKUPS_AND_PURCHASES,
    PROFILE,
)

from persimmonusher_decisions import hedging, placement, traffic
from persimmonusher_decisions.admission import SHORTEST_RETRY_AFTER, SHORTEST_RETURN
from persimmonusher_decisions.evidence import EvidenceLog
from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Outcome, OutcomeKind, Refusal
from persimmonusher_model.identifiers import RequestId, ServerId
from persimmonusher_model.profile import Profile

SHED = Outcome(OutcomeKind.REFUSED, 0.002)


def play(load: Load, profile: Profile = PROFILE) -> Served:
    total = Served()
    for seed in range(2):
        served = FleetSimulation(load, profile, seed).run()
        total.ends += served.ends
        total.seconds += served.seconds
    return total


class SheddingTest(unittest.TestCase):
    """Every server turns away half of its requests for seconds, whatever its load."""

    def test_callers_come_back_soon_and_are_served_in_time(self) -> None:
        """Half of all requests are turned away and the budget for asking others is spent at once.

        The next try of a caller is as likely to be taken as the first was. Told to come back after
        a second or more, two of five had their answer only after a second, or never.
        """
        load = replace(
            LOOKUPS_AND_PURCHASES, shed_share=0.55, shed_from=2.0, shed_seconds=18.0, returns=3
        )
        served = play(load)
        self.assertGreater(served.find_share_within(1.0), 0.7)
        self.assertLess(served.ends["refused"], 0.05 * sum(served.ends.values()))

    def test_the_more_is_refused_the_later_callers_come_back(self) -> None:
        traffic = make_traffic(6, Profile(retry_budget_percent=0))
        for number in range(40):
            dispatch = dispatched(traffic.offer(make_request(f"w{number}"), 0.0))
            traffic.finish(dispatch, GOOD, 0.02)
        seconds = []
        for number in range(30):
            dispatch = dispatched(traffic.offer(make_request(f"r{number}"), 1.0))
            traffic.finish(dispatch, SHED, 1.0)
            refusal = traffic.retry(dispatch, SHED, 1.0)
            assert isinstance(refusal, Refusal)
            seconds.append(refusal.retry_after)
        self.assertLess(max(seconds[:3]), 2 * SHORTEST_RETURN)
        self.assertGreater(min(seconds[-3:]), 1.3 * SHORTEST_RETURN)
        self.assertLess(max(seconds), SHORTEST_RETRY_AFTER)


class BusyAndIllTest(unittest.TestCase):
    def test_lookups_prove_servers_well_while_the_others_are_busy(self) -> None:
        """At four fifths of the slots, a third of the servers is ill, each for 2.7 s.

        Passed by for a fixed time of 4 s, 44% stand idle and the rest is crowded: more than one
        answer in four takes longer than a second.
        """
        load = replace(LOOKUPS_AND_PURCHASES, requests_a_second=285.0)
        with (
            patch.object(placement, "BUSY", 1_000.0),
            patch.object(EvidenceLog, "take_overdue", return_value=[]),
        ):
            fixed = play(load)
        proved = play(load)
        self.assertGreater(proved.find_share_within(1.0), fixed.find_share_within(1.0) + 0.06)
        self.assertLess(proved.failed_share, fixed.failed_share + 0.005)


class MostIllTest(unittest.TestCase):
    def test_servers_that_the_floor_spares_get_work_only_when_the_others_are_busy(self) -> None:
        """Six of nine servers fail, and five may be passed by.

        The sixth is as ill as the others. Used like the well ones it looks idle, since it fails at
        once, and loses a quarter of all entries.
        """
        profile = PROFILE.model_copy(update={"fewest_in_progress": 100, "far_load_percent": 0})
        traffic = make_traffic(9, profile)
        for number in range(6):
            notice = Notice(
                NoticeKind.FAILED, SERVICE, ServerId(f"s{number}"), 1, "", RequestId(f"f{number}")
            )
            traffic.apply_notice(notice, 1.0 + number * 0.01)
        ill = {ServerId(f"s{number}") for number in range(6)}
        entries = (make_request(f"e{number}", 1.5, idempotent=False) for number in range(24))
        chosen = [dispatched(traffic.offer(entry, 1.5)).server.server_id for entry in entries]
        self.assertFalse(ill & set(chosen[:9]), "the well ones have slots free")
        self.assertEqual(ill & set(chosen), {ServerId("s0")}, "the one whose failure is oldest")


class BurstTest(unittest.TestCase):
    def test_servers_passed_by_relieve_crowded_ones(self) -> None:
        """Bursts beyond all slots, while a third of the servers is ill for 9 s at a time.

        Guards against queues at the well servers while some that were ill stand idle.
        """
        load = replace(
            LOOKUPS_AND_PURCHASES,
            requests_a_second=260.0,
            burst_factor=1.6,
            ill_seconds=9.0,
            ill_chance=0.3,
        )
        with patch.object(placement, "CROWDED", inf):
            crowded = play(load)
        relieved = play(load)
        self.assertLess(relieved.failed_share, 0.9 * crowded.failed_share)
        self.assertGreater(relieved.find_share_within(1.0), crowded.find_share_within(1.0))


class HangingTest(unittest.TestCase):
    """Servers swallow three quarters of their work for 9 s at a time, three in ten of them."""

    def test_swallowed_lookups_are_answered_by_copies(self) -> None:
        """Guards against lookups that end with their time, while the fleet has retries left."""
        served = play(HANGING_LOOKUPS, HANGING_PROFILE)
        self.assertLess(served.failed_share, 0.03)
        self.assertGreater(served.find_share_within(1.5), 0.9)

    def test_overdue_requests_keep_further_ones_away(self) -> None:
        """Guards against servers that swallow requests until the first one's time is over."""
        for load, share in ((HANGING_LOOKUPS, 0.8), (HANGING_ENTRIES, 1.0)):
            with self.subTest(idempotent=load.idempotent_share):
                with patch.object(EvidenceLog, "take_overdue", return_value=[]):
                    unheeded = play(load, HANGING_PROFILE)
                served = play(load, HANGING_PROFILE)
                self.assertLess(served.failed_share, share * unheeded.failed_share)

    def test_copies_and_suspicion_make_no_burst_worse(self) -> None:
        """Guards against copies and passed-by servers that take the room which a burst needs."""
        with (
            patch.object(EvidenceLog, "take_overdue", return_value=[]),
            patch.object(hedging, "CALM_LOAD", 0.0),
        ):
            cautious = play(HANGING_BURSTS, HANGING_PROFILE)
        served = play(HANGING_BURSTS, HANGING_PROFILE)
        self.assertLess(served.failed_share, 1.1 * cautious.failed_share)
        with (
            patch.object(traffic, "QUEUEING_LOAD", inf),
            patch.object(hedging, "CALM_LOAD", inf),
        ):
            heedless = play(HANGING_BURSTS, HANGING_PROFILE)
        self.assertLess(served.failed_share, 0.8 * heedless.failed_share)

    def test_ways_that_swallow_requests_cost_no_more(self) -> None:
        """Guards against servers taken from all for what some instances can't reach.

        A seventh of the instances is cut off from half of the servers, each from other ones.
        """
        load = replace(HANGING_ENTRIES, cut_servers=0.5, cut_instances=0.15, cut_from=5.0)
        with patch.object(ServiceTraffic, "apply_notice", return_value=False):
            alone = play(load, HANGING_PROFILE)
        served = play(load, HANGING_PROFILE)
        self.assertLess(served.failed_share, alone.failed_share)


class OverdueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.traffic = make_traffic(6, PROFILE)
        for number in range(10):
            request = make_request(f"w{number}", idempotent=False)
            dispatch = dispatched(self.traffic.offer(request, 0.0))
            self.traffic.finish(dispatch, Outcome(OutcomeKind.SUCCESS, 0.3), 0.3)
        self.lost = dispatched(self.traffic.offer(make_request("r", 1.0, idempotent=False), 1.0))

    def find_seconds(self, now: float, traffic: ServiceTraffic | None = None) -> float:
        server = self.lost.server.server_id
        return (traffic or self.traffic).find_seconds_passed_by(server, now)

    def test_a_server_that_swallows_a_request_gets_no_second_one(self) -> None:
        """Guards against requests that follow a swallowed one until its time is over."""
        self.traffic.advance(1.4)
        self.assertEqual(self.find_seconds(1.4), 0.0)
        self.traffic.advance(2.0)
        self.assertGreater(self.find_seconds(2.0), 0.0)
        (notice,) = self.traffic.take_notices()
        other = make_traffic(6, PROFILE)
        other.apply_notice(notice, 2.0)
        self.assertGreater(self.find_seconds(2.0, other), 0.0)

    def test_a_server_whose_overdue_request_is_answered_is_used_again(self) -> None:
        """Guards against well servers that are passed by for one long piece of work."""
        self.traffic.advance(2.0)
        told = list(self.traffic.take_notices())
        self.traffic.finish(self.lost, Outcome(OutcomeKind.SUCCESS, 1.2), 2.2)
        told += self.traffic.take_notices()
        self.assertEqual(self.find_seconds(2.2), 0.0)
        other = make_traffic(6, PROFILE)
        for notice in told:
            other.apply_notice(notice, 2.2)
        self.assertEqual(self.find_seconds(2.2, other), 0.0)

    def test_an_answer_clears_no_server_that_failed_otherwise(self) -> None:
        """Guards against an ill server that is used again for its one late answer."""
        self.traffic.advance(2.0)
        server = self.lost.server.server_id
        failed = Notice(NoticeKind.FAILED, SERVICE, server, 1, "", RequestId("f"))
        self.traffic.apply_notice(failed, 2.1)
        self.traffic.finish(self.lost, Outcome(OutcomeKind.SUCCESS, 1.2), 2.2)
        self.assertGreater(self.find_seconds(2.2), 0.0)

    def test_a_routes_target_stands_in_for_answers_not_seen_yet(self) -> None:
        """Guards against the first seconds after a start, in which nothing is known to be usual."""
        traffic = make_traffic(6, PROFILE)
        request = make_request("r", 1.0, idempotent=False, target=1.5)
        lost = dispatched(traffic.offer(request, 1.0))
        traffic.advance(1.5)
        self.assertEqual(traffic.find_seconds_passed_by(lost.server.server_id, 1.5), 0.0)
        traffic.advance(2.2)
        self.assertGreater(traffic.find_seconds_passed_by(lost.server.server_id, 2.2), 0.0)


class TrialTest(unittest.TestCase):
    def test_a_server_that_returns_gets_few_requests_until_one_is_done_well(self) -> None:
        """Guards against a full share of requests for a server that is ill still."""
        traffic = make_traffic(6, PROFILE)
        ill = ServerId("s0")
        failed = Notice(NoticeKind.FAILED, SERVICE, ill, 1, "", RequestId("f"))
        traffic.apply_notice(failed, 1.0)
        before = self.count(traffic, ill, 6.0)
        proof = Notice(NoticeKind.RECOVERED, SERVICE, ill, 1, "", RequestId("p"), 0.3)
        traffic.apply_notice(proof, 6.5)
        self.assertGreater(self.count(traffic, ill, 7.0), 2 * before)

    def count(self, traffic: ServiceTraffic, server: ServerId, now: float) -> int:
        """Count the requests of 300 that a server gets, none of which is answered well."""
        chosen = 0
        for number in range(300):
            request = make_request(f"{now}-{number}", now, idempotent=False)
            dispatch = dispatched(traffic.offer(request, now))
            traffic.finish(dispatch, Outcome(OutcomeKind.CANCELLED, 0.0), now)
            chosen += dispatch.server.server_id == server
        return chosen


class RecoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.traffic = make_traffic(3, PROFILE)
        self.ill = self.tell(NoticeKind.FAILED, "f", 1.0).server_id

    def tell(self, kind: NoticeKind, name: str, now: float, seconds: float = 0.0) -> Notice:
        server = "s0"
        notice = Notice(kind, SERVICE, ServerId(server), 1, "", RequestId(name), seconds)
        self.traffic.apply_notice(notice, now)
        return notice

    def find_seconds(self, now: float) -> float:
        return self.traffic.find_seconds_passed_by(self.ill, now)

    def test_a_recovery_is_believed_unless_a_failure_is_newer(self) -> None:
        """A server does one lookup well, and fails the next before the answer has arrived."""
        self.tell(NoticeKind.RECOVERED, "v", 2.0, seconds=0.4)
        self.tell(NoticeKind.FAILED, "g", 3.0)
        self.tell(NoticeKind.RECOVERED, "w", 3.2, seconds=0.4)
        self.assertGreater(self.find_seconds(3.3), 0.0)
        self.tell(NoticeKind.RECOVERED, "x", 5.2, seconds=0.4)
        self.tell(NoticeKind.RECOVERED, "x", 5.2, seconds=0.4)
        self.assertGreater(self.find_seconds(5.3), 0.0, "told twice")
        self.tell(NoticeKind.RECOVERED, "y", 5.4, seconds=0.4)
        self.assertEqual(self.find_seconds(5.5), 0.0)

    def test_how_long_servers_stay_ill_is_learned(self) -> None:
        """Illnesses last 10 s, and the profile says 4 s: each return comes too early at first.

        What one server shows holds for the others of the service, which fail alike.
        """
        now = 1.0
        for round_number in range(6):
            self.tell(NoticeKind.FAILED, f"r{round_number}", now)
            now += self.find_seconds(now) + 0.5
        other = Notice(NoticeKind.FAILED, SERVICE, ServerId("s1"), 1, "", RequestId("o"))
        self.traffic.apply_notice(other, now)
        self.assertGreater(self.traffic.find_seconds_passed_by(ServerId("s1"), now), 8.0)

    def test_a_good_answer_to_a_lookup_sent_before_the_failure_proves_nothing(self) -> None:
        dispatch = dispatched(self.traffic.offer(make_request("r", 1.1), 1.1))
        self.traffic.finish(dispatch, GOOD, 1.2)
        self.tell(NoticeKind.FAILED, "g", 1.3)
        self.assertGreater(self.find_seconds(1.4), 0.0)
        self.assertEqual(self.traffic.take_notices(), ())


class UnreachedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.traffic = make_traffic(6, PROFILE)

    def tell(self, name: str, now: float) -> float:
        notice = Notice(NoticeKind.UNREACHED, SERVICE, ServerId("s0"), 1, "", RequestId(name))
        self.traffic.apply_notice(notice, now)
        return self.traffic.find_seconds_passed_by(ServerId("s0"), now)

    def test_what_one_instance_cannot_reach_the_others_go_on_using(self) -> None:
        """Links of some instances to some servers fail, one way, for seconds.

        Each such instance told all others, and soon nearly every server was passed by everywhere;
        the floor then brought back those that were really ill.
        """
        self.assertEqual(self.tell("a", 1.0), 0.0)
        self.assertEqual(self.tell("b", 1.1), 0.0)
        self.assertEqual(self.tell("c", 2.3), 0.0, "a second later")

    def test_what_several_cannot_reach_is_gone(self) -> None:
        self.assertEqual(self.tell("a", 1.0), 0.0)
        self.assertEqual(self.tell("a", 1.1), 0.0, "the same, told twice")
        self.assertEqual(self.tell("b", 1.2), 0.0)
        self.assertGreater(self.tell("c", 1.3), 0.0)

    def test_the_instance_that_cannot_reach_a_server_passes_it_by(self) -> None:
        dispatch = dispatched(self.traffic.offer(make_request("r", 1.0), 1.0))
        self.traffic.finish(dispatch, Outcome(OutcomeKind.UNREACHED, 0.2), 1.2)
        server = dispatch.server.server_id
        self.assertGreater(self.traffic.find_seconds_passed_by(server, 1.3), 0.0)
        (notice,) = self.traffic.take_notices()
        self.assertIs(notice.kind, NoticeKind.UNREACHED)


if __name__ == "__main__":
    unittest.main()
