"""Failed requests that can't be repeated while some servers fail again and again."""

import unittest
from dataclasses import replace
from typing import Any

from decisions_helpers import FAILED, GOOD, SERVICE, dispatched, make_request, make_traffic
from fleet_simulation import Load
from heavy_loads import PROFILE
from recorded_fleet import RecordedFleet

from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.standing import Standing
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch, Outcome, OutcomeKind
from persimmonusher_model.identifiers import RequestId, ServerId

MEMORY = PROFILE.model_copy(update={"failure_memory_ms": 60_000})
CAPACITY = 130 * 4 / 1.046
"""Requests a second of 130 servers with four slots and a mean work of 1.046 s."""
RECURRING = Load(
    instances=50,
    domains=1,
    servers=130,
    requests_a_second=0.3 * CAPACITY,
    work_seconds=1.0,
    prone_share=0.3,
    seconds=30.0,
)
"""Three servers in ten fail 3/4 of their requests for 2.7 s in every 9 s, at 0.3 of capacity."""
LEARNED_SECONDS = 15.0
"""Time after which each of these servers has had two episodes."""
AT_ONCE_SECONDS = 0.01
USED_SHARE = 0.7


class FailingFleet(RecordedFleet):
    """Counts the failures of non-idempotent requests that are due to servers' faults."""

    def __init__(self, load: Load, seconds: int, seed: int = 3) -> None:
        super().__init__(
            load, PROFILE.model_copy(update={"failure_memory_ms": 1000 * seconds}), seed
        )
        self.lost = 0

    def _end(self, instance: ServiceTraffic, dispatch: Dispatch, kind: OutcomeKind) -> None:
        at_once = self._now - dispatch.started < AT_ONCE_SECONDS
        if kind is OutcomeKind.FAILURE and at_once and self._now >= LEARNED_SECONDS:
            self.lost += not dispatch.request.idempotent
        super()._end(instance, dispatch, kind)


class RecurringFailuresTest(unittest.TestCase):
    def play(self, **changes: Any) -> tuple[FailingFleet, FailingFleet]:
        fleets = [FailingFleet(replace(RECURRING, **changes), seconds) for seconds in (0, 60)]
        for fleet in fleets:
            fleet.run()
        return fleets[0], fleets[1]

    # Guards against losing the first requests of each episode of the same servers again and again.
    def test_at_a_third_of_capacity_few_requests_are_lost_and_healthy_servers_are_used(
        self,
    ) -> None:
        before, after = self.play()
        self.assertLess(after.lost, before.lost / 2)
        self.assertGreaterEqual(min(after.find_shares_used()), USED_SHARE)

    # Guards against a preference that makes requests wait while marked servers have free slots.
    def test_near_capacity_losses_are_halved_and_waits_are_no_longer(self) -> None:
        before, after = self.play(requests_a_second=0.9 * CAPACITY, idempotent_share=0.33)
        self.assertLess(after.lost, before.lost / 2)
        for quantile in (0.5, 0.9):
            longest = before.served.find_quantile(quantile)
            self.assertLess(after.served.find_quantile(quantile), 1.02 * longest)
        self.assertLessEqual(after.served.ends["refused"], before.served.ends["refused"])


class MarkingTest(unittest.TestCase):
    """Single failures, and failures of all servers, while a lookup comes now and then."""

    def setUp(self) -> None:
        self.traffic = make_traffic(6, MEMORY)

    def report_failure(self, server: int, now: float, kind: NoticeKind = NoticeKind.FAILED) -> None:
        notice = Notice(kind, SERVICE, ServerId(f"s{server}"), 1, "", RequestId(f"{server}-{now}"))
        self.traffic.apply_notice(notice, now)

    def list_marked(self, now: float) -> list[str]:
        request = make_request(f"r{now}", now)
        self.traffic.finish(dispatched(self.traffic.offer(request, now)), GOOD, now)
        return [
            status.server.server_id
            for status in self.traffic.describe(now)
            if status.standing is Standing.FAILING_OFTEN
        ]

    # Guards against marking servers for failures that one request in a hundred shows.
    def test_only_recurring_failures_of_one_server_mark_it(self) -> None:
        self.report_failure(0, 1.0)
        self.report_failure(0, 1.3)
        self.report_failure(1, 1.0, NoticeKind.FAILED_LATE)
        self.report_failure(1, 5.0, NoticeKind.FAILED_LATE)
        self.assertEqual(self.list_marked(14.0), [])
        self.report_failure(0, 15.0)
        self.assertEqual(self.list_marked(28.0), ["s0"])
        self.assertEqual(self.list_marked(90.0), [])

    # Guards against preferring a few servers when the cause lies in the work.
    def test_when_all_fail_alike_none_is_marked(self) -> None:
        for now in (1.0, 10.0, 20.0):
            for server in range(6):
                self.report_failure(server, now)
        self.assertEqual(self.list_marked(35.0), [])

    # Guards against use of the memory in deployments that don't enable it.
    def test_nothing_is_remembered_while_it_is_off(self) -> None:
        self.traffic = make_traffic(6, PROFILE)
        for now in (1.0, 10.0, 20.0):
            self.report_failure(0, now)
        self.assertEqual(self.list_marked(35.0), [])

    # Guards against marking a server because this instance alone can't reach it.
    def test_own_lost_ways_do_not_mark(self) -> None:
        for now in (1.0, 20.0, 40.0):
            dispatch = dispatched(self.traffic.offer(make_request(f"u{now}", now), now))
            self.traffic.finish(dispatch, Outcome(OutcomeKind.UNREACHED, 0.2), now)
        self.assertEqual(self.list_marked(55.0), [])

    # Guards against remembering only what other instances report.
    def test_own_failures_count(self) -> None:
        dispatch = dispatched(self.traffic.offer(make_request("o", 1.0, idempotent=False), 1.0))
        server = dispatch.server.server_id
        self.traffic.finish(dispatch, FAILED, 1.1)
        self.report_failure(int(server[1:]), 14.0)
        self.assertEqual(self.list_marked(27.0), [server])


if __name__ == "__main__":
    unittest.main()
