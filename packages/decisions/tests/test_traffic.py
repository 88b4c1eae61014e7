import unittest
from collections import Counter
from dataclasses import replace
from random import Random

from decisions_helpers import (
    FAILED,
    GOOD,
    SERVICE,
    dispatched,
    make_request,
    make_server,
    make_set,
    make_traffic,
)

from persimmonusher_decisions.admission import Admission
from persimmonusher_decisions.evidence_messages import EjectionState
from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.server import ServerState
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import (
    Dispatch,
    Outcome,
    OutcomeKind,
    Refusal,
    RefusalReason,
    Wait,
)
from persimmonusher_model.identifiers import ServerId
from persimmonusher_model.profile import DETECTION_FIRST, Profile


def serve(traffic: ServiceTraffic, count: int, outcome: Outcome = GOOD) -> Counter[str]:
    chosen: Counter[str] = Counter()
    for index in range(count):
        now = index * 0.01
        dispatch = dispatched(traffic.offer(make_request(f"q{index}", now), now))
        chosen[dispatch.server.server_id] += 1
        traffic.finish(dispatch, outcome, now)
    return chosen


class PlacementTest(unittest.TestCase):
    def test_work_spreads_over_outstanding(self) -> None:
        traffic = make_traffic(6, live=1)
        burst = [traffic.offer(make_request(f"r{index}"), 0.0) for index in range(12)]
        chosen = Counter(dispatched(item).server.server_id for item in burst)
        self.assertEqual(set(chosen.values()), {2})

    def test_fail_fast_server_attracts_no_work(self) -> None:
        traffic = make_traffic(6)
        chosen: Counter[str] = Counter()
        held: list[Dispatch] = []
        for index in range(600):
            now = index * 0.01
            dispatch = dispatched(traffic.offer(make_request(f"r{index}", now), now))
            chosen[dispatch.server.server_id] += 1
            if dispatch.server.server_id == "s0":
                traffic.finish(dispatch, FAILED, now)
            else:
                held.append(dispatch)
            if len(held) > 5:
                traffic.finish(held.pop(0), GOOD, now)
        self.assertLess(chosen["s0"], 0.5 * sum(chosen.values()) / 6)

    def test_lying_report_is_bounded(self) -> None:
        traffic = make_traffic(6, live=4)
        chosen: Counter[str] = Counter()
        for index in range(2000):
            now = index * 0.01
            dispatch = dispatched(traffic.offer(make_request(f"r{index}", now), now))
            chosen[dispatch.server.server_id] += 1
            load = 0 if dispatch.server.server_id == "s0" else 3
            traffic.finish(dispatch, Outcome(OutcomeKind.SUCCESS, 0.02, load), now)
        self.assertGreater(min(chosen.values()), 0)

    def test_draining_answer_outlives_an_older_announcement(self) -> None:
        traffic = make_traffic(2)
        dispatch = dispatched(traffic.offer(make_request("r"), 0.0))
        leaving = dispatch.server.server_id
        traffic.finish(dispatch, Outcome(OutcomeKind.DRAINING, 0.001), 0.0)
        traffic.replace_servers([make_server(0), make_server(1)], 0.1)
        self.assertNotIn(leaving, serve(traffic, 50))

    def test_a_burst_in_one_domain_reaches_far_servers(self) -> None:
        """Guards against a burst in one domain that fills near queues while far servers are idle.

        The burst reaches the twelve instances of one failure domain, which has two of the eight
        servers. Each instance sees four requests of its own; unless it knows what the others have
        sent, it uses only the near servers.
        """
        profile = Profile(far_load_percent=30)
        near = {}
        for knows in (False, True):
            instances = [make_traffic(8, profile, live=12) for _ in range(12)]
            total: Counter[str] = Counter()
            for burst in range(4):
                for number, traffic in enumerate(instances):
                    decision = traffic.offer(make_request(f"{burst}-{number}"), 0.0)
                    total[dispatched(decision).server.server_id] += 1
                for traffic in instances if knows else []:
                    traffic.apply_loads({ServerId(name): n for name, n in total.items()})
            near[knows] = total["s0"] + total["s4"]
        self.assertEqual(near, {False: 48, True: 24})

    def test_states_other_than_ready_get_no_work(self) -> None:
        traffic = make_traffic(1)
        for state in (ServerState.STARTING, ServerState.DRAINING, ServerState.STOPPED):
            with self.subTest(state):
                traffic.replace_servers([make_server(0, state)], 1.0)
                refusal = traffic.offer(make_request(f"r{state}", 1.0), 1.0)
                self.assertIsInstance(refusal, Refusal)
                assert isinstance(refusal, Refusal)
                self.assertIs(refusal.reason, RefusalReason.NO_SERVER)

    def test_probation_gets_idempotent_work_only_and_seldom(self) -> None:
        traffic = make_traffic(4, Profile(health_floor_percent=50), live=16)
        traffic.apply_ejections(make_set(["s1"], state=EjectionState.PROBATION), 0.0)
        probes = 0
        for index in range(290):
            now = index * 0.01
            request = make_request(f"r{index}", now, idempotent=index % 2 == 0)
            dispatch = dispatched(traffic.offer(request, now))
            if dispatch.server.server_id == "s1":
                self.assertTrue(request.idempotent)
                probes += 1
            traffic.finish(dispatch, GOOD, now)
        self.assertIn(probes, range(1, 8))

    def test_finishing_twice_counts_once(self) -> None:
        traffic = make_traffic(1)
        dispatch = dispatched(traffic.offer(make_request("r"), 0.0))
        traffic.finish(dispatch, GOOD, 0.1)
        self.assertEqual(traffic.finish(dispatch, GOOD, 0.2), ())
        self.assertEqual(traffic.describe(0.2)[0].outstanding, 0)

    # Guards against the late end of a request that ends a resend under the same id.
    def test_attempts_of_two_requests_under_one_id_end_by_themselves(self) -> None:
        traffic = make_traffic(1)
        first = dispatched(traffic.offer(make_request("r"), 0.0))
        second = dispatched(traffic.offer(make_request("r", 0.1), 0.1))
        outstanding = []
        for dispatch in (first, first, second):
            traffic.finish(dispatch, FAILED, 0.2)
            outstanding.append(traffic.describe(0.2)[0].outstanding)
        self.assertEqual(outstanding, [1, 1, 0])


class SaturationTest(unittest.TestCase):
    """Guards against starvation when demand is three times the capacity.

    One greedy caller sends most of the requests. If the queue filled with its lookups, the other
    callers would time out, and entries that come later would find no place.
    """

    def test_refusals_are_immediate_and_places_are_shared(self) -> None:
        traffic = make_traffic(2, Profile(queue_limit=40), live=8)
        results: Counter[tuple[str, str]] = Counter()
        for index in range(200):
            caller = "greedy" if index % 4 else f"c{index % 8}"
            request = make_request(f"r{index}", caller=caller, idempotent=bool(index % 10))
            decision = traffic.offer(request, 0.0)
            kind = caller if request.idempotent else "entry"
            results[kind, type(decision).__name__] += 1
            if isinstance(decision, Refusal):
                self.assertGreaterEqual(decision.retry_after, 0.75)
        self.assertGreater(results["entry", "Wait"], 0)
        self.assertGreater(results["c0", "Wait"] + results["c4", "Wait"], 4)
        self.assertLessEqual(results["greedy", "Wait"], 20)
        self.assertGreater(results["greedy", "Refusal"], 50)

    def test_entries_go_first_and_lookups_go_too(self) -> None:
        admission = Admission(DETECTION_FIRST, Random(1))
        for index in range(8):
            for idempotent in (True, False):
                admission.wait(make_request(f"{index}{idempotent}", idempotent=idempotent), 0.0, 0)
        order = [admission.queue.pop().idempotent for _ in range(8)]
        self.assertEqual(order.count(False), 6)
        self.assertIn(True, order[:4])

    def test_late_requests_are_refused_not_run(self) -> None:
        traffic = make_traffic(1, live=8)
        first = [dispatched(traffic.offer(make_request(f"a{i}"), 0.0)) for i in range(2)]
        self.assertIsInstance(traffic.offer(make_request("late", seconds=0.2), 0.0), Wait)
        refused = traffic.advance(0.3)
        self.assertEqual(
            [item.reason for item in refused if isinstance(item, Refusal)], [RefusalReason.DEADLINE]
        )
        waiting = make_request("w", 0.3)
        self.assertIsInstance(traffic.offer(waiting, 0.3), Wait)
        (released,) = traffic.finish(first[0], GOOD, 0.4)
        self.assertEqual(dispatched(released).request, waiting)

    def test_waiting_request_stays_while_every_connection_is_taken(self) -> None:
        traffic = make_traffic(2, Profile(connections_per_server=1, queue_limit=8), live=1)
        servers = [replace(make_server(index), connection_limit=2) for index in range(2)]
        traffic.replace_servers(servers, 0.0)
        held = [dispatched(traffic.offer(make_request(f"a{i}"), 0.0)) for i in range(2)]
        for name in ("w1", "w2"):
            self.assertIsInstance(traffic.offer(make_request(name), 0.0), Wait)
        self.assertEqual(traffic.advance(0.1), ())
        (released,) = traffic.finish(held[0], GOOD, 0.2)
        self.assertIsInstance(released, Dispatch)

    def test_withdrawn_request_is_never_released(self) -> None:
        traffic = make_traffic(1, live=8)
        held = [dispatched(traffic.offer(make_request(f"a{i}"), 0.0)) for i in range(2)]
        waiting = make_request("w")
        traffic.offer(waiting, 0.0)
        traffic.withdraw(waiting)
        self.assertEqual(traffic.finish(held[0], GOOD, 0.1), ())


class SharedSlotsTest(unittest.TestCase):
    # Guards against an instance that goes on as if it had all slots of the service.
    def test_slots_are_shared_as_soon_as_the_other_instances_are_known(self) -> None:
        traffic = make_traffic(6, Profile())
        traffic.replace_entry_count(48)
        now = 0.0
        for number in range(200):
            now += 0.06
            dispatch = dispatched(traffic.offer(make_request(f"full-{number}", now), now))
            traffic.finish(dispatch, Outcome(OutcomeKind.SUCCESS, 0.02, 40), now)
        decisions = [traffic.offer(make_request(f"r{n}", now), now) for n in range(24)]
        started = sum(isinstance(decision, Dispatch) for decision in decisions)
        self.assertLessEqual(started, 2)


class RetryTest(unittest.TestCase):
    def test_budget_bounds_amplification_in_a_lasting_fault(self) -> None:
        traffic = make_traffic(6)
        attempts = 0
        for index in range(1000):
            now = index * 0.01
            decision = traffic.offer(make_request(f"r{index}", now), now)
            while isinstance(decision, Dispatch):
                attempts += 1
                traffic.finish(decision, FAILED, now)
                decision = traffic.retry(decision, FAILED, now)
        self.assertLessEqual(attempts, 1000 * 1.1 + 10)

    def test_retry_goes_elsewhere_and_tells_what_ran(self) -> None:
        traffic = make_traffic(3, Profile(max_retries=1))
        first = dispatched(traffic.offer(make_request("r"), 0.0))
        traffic.finish(first, FAILED, 0.0)
        second = dispatched(traffic.retry(first, FAILED, 0.0))
        self.assertNotEqual(first.server, second.server)
        traffic.finish(second, FAILED, 0.0)
        last = traffic.retry(second, FAILED, 0.0)
        assert isinstance(last, Refusal)
        self.assertIs(last.reason, RefusalReason.RETRIES_EXHAUSTED)

    def test_a_lookup_is_copied_once_answers_hardly_take_as_long(self) -> None:
        """A server hangs; the usual latency follows from the answers so far."""
        traffic = make_traffic(3, Profile(hedge_slow=True))
        lookup = dispatched(traffic.offer(make_request("r", seconds=4.0), 0.0))
        self.assertEqual(traffic.hedge_delay(lookup, 0.0), 2.0, "half of its time")
        for index in range(40):
            dispatch = dispatched(traffic.offer(make_request(f"w{index}"), 0.0))
            traffic.finish(dispatch, Outcome(OutcomeKind.SUCCESS, 0.3), 0.3)
        delay = traffic.hedge_delay(lookup, 1.0)
        assert delay is not None
        self.assertAlmostEqual(delay, 0.9, delta=0.2)
        entry = dispatched(traffic.offer(make_request("e", 1.0, idempotent=False), 1.0))
        self.assertIsNone(traffic.hedge_delay(entry, 1.0))
        single = replace(make_request("s", 1.0), max_attempts=1)
        first = dispatched(traffic.offer(single, 1.0))
        self.assertIsNone(traffic.hedge(first, 2.0), "one server only may have it")

    # Guards against trials whose callers wait three times the usual latency for a likely failure.
    def test_a_lookup_on_a_suspected_server_is_copied_sooner(self) -> None:
        traffic = make_traffic(3, Profile(hedge_slow=True, suspect_ms=2_000))
        for index in range(40):
            dispatch = dispatched(traffic.offer(make_request(f"w{index}"), 0.0))
            traffic.finish(dispatch, Outcome(OutcomeKind.SUCCESS, 0.3), 0.3)
        lookup = dispatched(traffic.offer(make_request("r", 1.0), 1.0))
        usual = traffic.hedge_delay(lookup, 1.0)
        server = lookup.server
        traffic.apply_notice(
            Notice(NoticeKind.FAILED, SERVICE, server.server_id, server.boot_id), 1.0
        )
        trial = traffic.hedge_delay(lookup, 1.0)
        assert usual is not None and trial is not None
        self.assertLess(trial, usual / 2)

    def test_hedge_needs_calm_and_budget(self) -> None:
        traffic = make_traffic(3, Profile(hedge_after_ms=50))
        first = dispatched(traffic.offer(make_request("r"), 0.0))
        copy = traffic.hedge(first, 0.1)
        assert copy is not None
        self.assertNotEqual(copy.server, first.server)
        traffic.finish(first, FAILED, 0.1)
        again = dispatched(traffic.retry(first, FAILED, 0.1))
        traffic.finish(again, GOOD, 0.2)
        traffic.finish(copy, Outcome(OutcomeKind.CANCELLED, 0.1), 0.2)
        self.assertEqual({item.outstanding for item in traffic.describe(0.2)}, {0})
        entry = dispatched(traffic.offer(make_request("e", idempotent=False), 0.1))
        self.assertIsNone(traffic.hedge(entry, 0.2))


class CrashingRequestTest(unittest.TestCase):
    """Guards against a request that crashes one server after the other.

    The request crashes each server that runs it, and its caller resends it. The instance sees the
    connection break with the request in flight; its own retry would crash the next server within
    milliseconds.
    """

    def _count_lost_servers(self, traffic: ServiceTraffic, name: str, now: float) -> int:
        lost = 0
        decision = traffic.offer(make_request(name, now, fingerprint="bad"), now)
        broken = Outcome(OutcomeKind.BROKEN, 0.01)
        while isinstance(decision, Dispatch):
            lost += 1
            traffic.finish(decision, broken, now)
            decision = traffic.retry(decision, broken, now)
        return lost

    def test_servers_lost_are_bounded(self) -> None:
        traffic = make_traffic(6)
        lost = sum(self._count_lost_servers(traffic, f"r{step}", float(step)) for step in range(10))
        self.assertEqual(lost, DETECTION_FIRST.crash_strikes)
        refusal = traffic.offer(make_request("again", 11.0, fingerprint="bad"), 11.0)
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.reason, RefusalReason.QUARANTINED)
        dispatched(traffic.offer(make_request("other", 11.0), 11.0))

    def test_popular_lookup_isnt_blamed_for_two_lost_servers(self) -> None:
        traffic = make_traffic(6)
        for step in range(4):
            request = make_request(f"r{step}", step, fingerprint="popular")
            dispatch = dispatched(traffic.offer(request, step))
            kind = OutcomeKind.SUCCESS if step % 2 == 0 else OutcomeKind.BROKEN
            traffic.finish(dispatch, Outcome(kind, 0.01), step)
        dispatched(traffic.offer(make_request("next", 5.0, fingerprint="popular"), 5.0))

    def test_network_cut_quarantines_nothing(self) -> None:
        traffic = make_traffic(6)
        held = [
            dispatched(traffic.offer(make_request(f"r{i}", fingerprint="same"), 0.0))
            for i in range(6)
        ]
        for dispatch in held:
            traffic.finish(dispatch, Outcome(OutcomeKind.BROKEN, 0.01), 0.01)
        dispatched(traffic.offer(make_request("next", 1.0, fingerprint="same"), 1.0))


class OverdueTest(unittest.TestCase):
    """Guards against a server that hangs, and gets requests until the first deadline ends.

    Requests are sent, and no answer ever comes. Callers would wait until their deadlines, one after
    the other, as nothing would count against the server before the first deadline.
    """

    def test_silent_server_is_told_of_before_any_deadline(self) -> None:
        traffic = make_traffic(3)
        serve(traffic, 100)
        traffic.digest(2.0)
        held = [dispatched(traffic.offer(make_request(f"h{i}", 2.0), 2.0)) for i in range(3)]
        for dispatch in held[1:]:
            traffic.finish(dispatch, GOOD, 2.02)
        traffic.advance(3.5)
        digest = traffic.digest(3.5)
        assert digest is not None
        failed_by_server = {line.server_id: line.failed for line in digest.servers}
        self.assertEqual(failed_by_server[held[0].server.server_id], 1)


if __name__ == "__main__":
    unittest.main()
