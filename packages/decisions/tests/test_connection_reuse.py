"""Connections that are used again, in virtual time."""

import unittest
from collections import defaultdict
from dataclasses import replace

from decisions_helpers import GOOD, dispatched, make_request, make_server, make_traffic
from fleet_simulation import FleetSimulation, Load, Served
from heavy_loads import PROFILE

from persimmonusher_decisions.connection_reuse import NON_IDEMPOTENT_IDLE_SECONDS
from persimmonusher_decisions.server import ServerState
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch, OutcomeKind
from persimmonusher_model.identifiers import ServerId
from persimmonusher_model.profile import Profile

MANY_SERVERS = Load(
    instances=25,
    domains=4,
    servers=34,
    slots=4,
    requests_a_second=150.0,
    work_seconds=0.27,
    work_spread=0.5,
    seconds=8.0,
)
"""Non-idempotent requests, six a second at each instance, before more servers than that."""


class CountingFleet(FleetSimulation):
    """Counts the connections that instances open for their attempts."""

    def __init__(self, load: Load, profile: Profile) -> None:
        super().__init__(load, profile)
        self.opened = 0
        self._idle: defaultdict[tuple[int, ServerId], list[float]] = defaultdict(list)

    def _reach(self, instance: ServiceTraffic, dispatch: Dispatch) -> None:
        idle = self._idle[id(instance), dispatch.server.server_id]
        if idle and idle[-1] >= self._now - NON_IDEMPOTENT_IDLE_SECONDS:
            idle.pop()
        else:
            self.opened += 1
        super()._reach(instance, dispatch)

    def _answer(self, instance: ServiceTraffic, dispatch: Dispatch, kind: OutcomeKind) -> None:
        self._idle[id(instance), dispatch.server.server_id].append(self._now)
        super()._answer(instance, dispatch, kind)


def play(load: Load, percent: int) -> tuple[Served, float]:
    """Return how the requests ended, and the connections opened for each attempt."""
    profile = PROFILE.model_copy(update={"opening_load_percent": percent, "far_load_percent": 80})
    fleet = CountingFleet(load, profile)
    served = fleet.run()
    return served, fleet.opened / served.arrivals


class ConnectionReuseTest(unittest.TestCase):
    def test_few_requests_before_many_servers_use_open_connections(self) -> None:
        """Guards against a new connection for nearly each request, in calm and in a burst."""
        for factor in (1.0, 1.8):
            with self.subTest(load=factor):
                load = replace(MANY_SERVERS, burst_factor=factor, burst_seconds=10.0)
                before, opened_before = play(load, 0)
                after, opened = play(load, 80)
                self.assertLess(opened, 0.7 * opened_before)
                self.assertLess(after.failed_share, before.failed_share + 0.01)
                self.assertLess(after.find_quantile(0.99), 1.1 * before.find_quantile(0.99))

    def test_a_busy_server_is_left_although_a_connection_is_open(self) -> None:
        """Guards against filling one server's queue while others are idle."""
        traffic = make_traffic(6, Profile(opening_load_percent=80))
        first = dispatched(traffic.offer(make_request("a"), 0.0))
        traffic.finish(first, GOOD, 0.3)
        used = {
            dispatched(traffic.offer(make_request(f"b{number}"), 0.4)).server.server_id
            for number in range(24)
        }
        self.assertEqual(len(used), 6)

    def test_a_server_that_leaves_is_not_used_for_its_open_connection(self) -> None:
        """Guards against requests to a leaving server after an answer of it has come in."""
        traffic = make_traffic(6, Profile(opening_load_percent=80))
        first = dispatched(traffic.offer(make_request("a"), 0.0))
        leaving = first.server.server_id
        servers = [make_server(index) for index in range(6)]
        traffic.replace_servers(
            [
                (
                    replace(one, sequence=2, state=ServerState.DRAINING)
                    if one.server_id == leaving
                    else one
                )
                for one in servers
            ],
            0.1,
        )
        traffic.finish(first, GOOD, 0.3)
        for number in range(12):
            dispatch = dispatched(traffic.offer(make_request(f"b{number}", 0.4), 0.4))
            self.assertNotEqual(dispatch.server.server_id, leaving)

    def test_a_connection_that_was_idle_for_too_long_counts_for_nothing(self) -> None:
        """Guards against preferring a server whose connection must not be used any more."""
        traffic = make_traffic(40, Profile(opening_load_percent=80))
        first = dispatched(traffic.offer(make_request("a"), 0.0))
        traffic.finish(first, GOOD, 0.3)
        again = [
            dispatched(traffic.offer(make_request(f"b{number}", 5.0), 5.0)) for number in range(3)
        ]
        self.assertGreater(len({one.server.server_id for one in again}), 1)


if __name__ == "__main__":
    unittest.main()
