"""Servers that refuse an instance's request and ask that instance for some seconds of rest."""

import unittest
from dataclasses import replace

from asking_servers import SILENT, WAY_SECONDS, AskingServers, Rest, Scene, Seen
from decisions_helpers import GOOD, SERVICE, dispatched, make_request, make_server, make_traffic

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch, Outcome, OutcomeKind, Refusal
from persimmonusher_model.identifiers import RequestId, ServerId
from persimmonusher_model.profile import Profile

PROFILE = Profile(suspect_ms=4_000, hedge_slow=True, retry_slack=500, retry_budget_percent=50)
REST = ServerAdvice(rest_seconds=3.0)
ASKED_FROM = 4.0
ASKED_UNTIL = 9.0


def play(scene: Scene, resting: int, seed: int) -> Seen:
    """Simulate a fleet in which the first `resting` servers ask for rest for some seconds."""
    names = {ServerId(f"s{index}") for index in range(resting)}

    def advise(server_id: ServerId, now: float) -> ServerAdvice:
        asks = server_id in names and ASKED_FROM <= now < ASKED_UNTIL
        return REST if asks else SILENT

    return AskingServers(scene, PROFILE, advise, seed).run()


def count_in_rest(seen: Seen, rest: Rest) -> int:
    """Count the requests that reached a server from an instance during a rest."""
    begin = rest.at + 2 * WAY_SECONDS
    return sum(
        arrival.instance == rest.instance and begin < arrival.at < rest.at + rest.seconds
        for arrival in seen.list_arrivals(rest.server_id)
    )


class FleetRestTest(unittest.TestCase):
    # Guards against using a resting server because it looks the least loaded.
    def test_a_server_gets_nothing_in_its_rest(self) -> None:
        for resting in (1, 3, 6):
            for seed in range(4):
                with self.subTest(resting=resting, seed=seed):
                    seen = play(Scene(servers=6, requests_a_second=4.0), resting, seed)
                    self.assertGreater(len(seen.rests), 0)
                    self.assertEqual([r for r in seen.rests if count_in_rest(seen, r)], [])

    # Guards against refusing callers while other servers accept work.
    def test_callers_are_served_by_the_others(self) -> None:
        seen = play(Scene(servers=6, requests_a_second=2.0), 2, seed=1)
        self.assertLess(seen.refused, 0.01 * seen.served)

    # Guards against servers that get no requests for longer than they asked for.
    def test_a_server_is_used_again_after_its_rest(self) -> None:
        seen = play(Scene(servers=6, requests_a_second=2.0), 6, seed=1)
        late = [arrival for arrival in seen.arrivals if arrival.at > ASKED_UNTIL + 3.5]
        self.assertEqual({a.server_id for a in late}, {ServerId(f"s{i}") for i in range(6)})


class RestingTrafficTest(unittest.TestCase):
    def setUp(self) -> None:
        self.traffic = make_traffic(servers=2, profile=PROFILE)

    def ask_for_rest(self, traffic: ServiceTraffic, now: float) -> ServerId:
        """Have the server that gets the next request refuse it and ask for 3 s of rest."""
        sent = dispatched(traffic.offer(make_request(f"t{now}", now), now))
        traffic.apply_advice(sent, REST, now)
        traffic.finish(sent, Outcome(OutcomeKind.REFUSED, 0.001), now)
        return sent.server.server_id

    def choose(self, now: float, idempotent: bool = True) -> ServerId | None:
        decision = self.traffic.offer(make_request(f"c{now}", now, idempotent=idempotent), now)
        if not isinstance(decision, Dispatch):
            return None
        self.traffic.finish(decision, GOOD, now + 0.02)
        return decision.server.server_id

    # Guards against a rest that is respected only while there is another server.
    def test_the_last_server_left_is_not_used_in_its_rest(self) -> None:
        self.ask_for_rest(self.traffic, 1.0)
        self.ask_for_rest(self.traffic, 1.1)
        for moment in range(14):
            self.assertIsNone(self.choose(1.2 + 0.2 * moment, idempotent=bool(moment % 2)))

    # Guards against requests that wait for servers that rest beyond the requests' deadlines.
    def test_a_request_is_refused_at_once_with_the_time_of_the_first_to_return(self) -> None:
        self.ask_for_rest(self.traffic, 1.0)
        self.ask_for_rest(self.traffic, 2.0)
        decision = self.traffic.offer(make_request("r", 2.5), 2.5)
        assert isinstance(decision, Refusal), decision
        self.assertAlmostEqual(decision.retry_after, 1.5)

    # Guards against refusing or queueing a request because all sampled servers are closed.
    def test_the_only_open_server_of_many_is_found(self) -> None:
        traffic = make_traffic(servers=60, profile=PROFILE)
        for number in range(59):
            notice = Notice(NoticeKind.LIMITED, SERVICE, ServerId(f"s{number}"), 1, rate_limit=0.0)
            traffic.apply_notice(notice, 1.0)
            self.assertEqual(traffic.describe(1.0)[number].reason, "limited")
        for number in range(20):
            sent = dispatched(traffic.offer(make_request(f"r{number}", 1.01), 1.01))
            traffic.finish(sent, GOOD, 1.01)

    # Guards against reporting open servers as closed for a request that arrived slowly.
    def test_a_request_that_came_slowly_is_not_refused_for_closed_servers(self) -> None:
        for number in range(100):
            decision = self.traffic.offer(make_request(f"r{number}", 1.0), 1.0)
            if not isinstance(decision, Dispatch):
                break
        slow = replace(make_request("slow", 1.0), arrived=-9.0)
        decision = self.traffic.offer(slow, 1.0)
        self.assertNotIsInstance(decision, (Dispatch, Refusal))

    # Guards against a short retry-after while all servers rest.
    def test_a_request_that_the_last_server_turned_away_comes_back_after_the_rest(self) -> None:
        self.ask_for_rest(self.traffic, 1.0)
        sent = dispatched(self.traffic.offer(make_request("r", 1.5), 1.5))
        outcome = Outcome(OutcomeKind.REFUSED, 0.001)
        self.traffic.apply_advice(sent, REST, 1.5)
        self.traffic.finish(sent, outcome, 1.5)
        decision = self.traffic.retry(sent, outcome, 1.5)
        assert isinstance(decision, Refusal), decision
        self.assertAlmostEqual(decision.retry_after, 2.5)

    # Guards against a rest that is ended by a good answer or by a shorter rest.
    def test_neither_a_good_answer_nor_a_shorter_rest_ends_a_rest(self) -> None:
        early = dispatched(self.traffic.offer(make_request("e1", 0.9), 0.9))
        resting = early.server.server_id
        self.traffic.apply_advice(early, REST, 1.0)
        self.traffic.apply_advice(early, SILENT, 1.1)
        self.traffic.apply_advice(early, ServerAdvice(rest_seconds=0.5), 1.2)
        for moment in range(8):
            self.assertNotEqual(self.choose(1.7 + 0.25 * moment), resting)

    # Guards against using a turn at a limited server that begins while the server rests.
    def test_a_turn_does_not_end_a_rest(self) -> None:
        traffic = make_traffic(servers=1, profile=PROFILE)
        resting = self.ask_for_rest(traffic, 1.0)
        for moment in range(70):
            now = 1.05 + 0.04 * moment
            rate = 40.0 + moment % 2
            notice = Notice(NoticeKind.LIMITED, SERVICE, resting, 1, rate_limit=rate)
            traffic.apply_notice(notice, now)
            decision = traffic.offer(make_request(f"c{now}", now), now)
            self.assertNotIsInstance(decision, Dispatch)
            traffic.withdraw(decision.request)

    # Guards against a rest that is lost when servers, the profile or the fleet's size change.
    def test_changes_of_servers_and_profile_do_not_end_a_rest(self) -> None:
        resting = self.ask_for_rest(self.traffic, 1.0)
        self.traffic.replace_servers([make_server(index) for index in range(3)], 1.5)
        self.traffic.replace_profile(Profile())
        self.traffic.replace_entry_count(7)
        for moment in range(8):
            self.assertNotEqual(self.choose(1.7 + 0.25 * moment), resting)

    # Guards against a rest that outlives the boot of the server that asked for it.
    def test_a_server_that_has_started_again_owes_nothing(self) -> None:
        traffic = make_traffic(servers=1, profile=PROFILE)
        self.ask_for_rest(traffic, 1.0)
        traffic.replace_servers([make_server(0, boot=2)], 1.5)
        dispatched(traffic.offer(make_request("r", 1.6), 1.6))

    # Guards against a suspected server being tried by a lookup while it rests.
    def test_a_lookup_does_not_prove_a_resting_server(self) -> None:
        resting = self.ask_for_rest(self.traffic, 1.0)
        notice = Notice(NoticeKind.FAILED, SERVICE, resting, 1, "", RequestId("f"))
        self.traffic.apply_notice(notice, 1.0)
        for number in range(40):
            now = 1.1 + 0.04 * number
            decision = self.traffic.offer(make_request(f"l{number}", now), now)
            if isinstance(decision, Dispatch):
                self.assertNotEqual(decision.server.server_id, resting)

    # Guards against sending a request that was placed on a server before it asked for rest.
    def test_what_was_placed_before_is_withheld_and_placed_elsewhere(self) -> None:
        placed = dispatched(self.traffic.offer(make_request("r1", 0.9), 0.9))
        self.assertTrue(self.traffic.may_send(placed, 0.9))
        self.traffic.apply_advice(placed, REST, 1.0)
        self.assertFalse(self.traffic.may_send(placed, 1.0))
        outcome = Outcome(OutcomeKind.WITHHELD, 0.1)
        self.traffic.finish(placed, outcome, 1.0)
        again = dispatched(self.traffic.retry(placed, outcome, 1.0))
        self.assertNotEqual(again.server.server_id, placed.server.server_id)
        self.assertEqual(self.traffic.pop_notices(), ())


class LeavingServerTest(unittest.TestCase):
    # Guards against sending work to a server that says in an answer, before its announcement, that
    # it leaves.
    def test_a_server_that_says_it_leaves_gets_nothing_more_in_this_start(self) -> None:
        traffic = make_traffic(servers=2, profile=PROFILE)
        placed = dispatched(traffic.offer(make_request("r1", 1.0), 1.0))
        sent = dispatched(traffic.offer(make_request("r2", 1.0), 1.0))
        leaving = sent.server
        self.assertTrue(traffic.apply_advice(sent, ServerAdvice(is_leaving=True), 1.1))
        self.assertFalse(traffic.apply_advice(sent, ServerAdvice(is_leaving=True), 1.2))
        self.assertIs(traffic.may_send(placed, 1.2), placed.server != leaving)
        self.assertFalse(traffic.may_send(sent, 1.2))
        later = replace(leaving, sequence=leaving.sequence + 1)
        others = [make_server(index) for index in range(2) if index != int(leaving.server_id[1:])]
        traffic.replace_servers([later, *others], 1.3)
        for number in range(8):
            chosen = dispatched(traffic.offer(make_request(f"c{number}", 1.4), 1.4))
            self.assertNotEqual(chosen.server.server_id, leaving.server_id)
            traffic.finish(chosen, GOOD, 1.4)
        traffic.replace_servers([replace(leaving, boot_id=2)], 2.0)
        dispatched(traffic.offer(make_request("n", 2.1), 2.1))


if __name__ == "__main__":
    unittest.main()
