"""Tests of the calls by which keepers share their followers' work, over gRPC on loopback."""

from persimmonusher_node import loop

loop.install()

import asyncio  # noqa: E402
import unittest  # noqa: E402
from random import Random  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from typing import Any, cast  # noqa: E402

import eventlet  # noqa: E402
from free_ports import find_port  # noqa: E402
from grpclib.const import Status  # noqa: E402
from grpclib.exceptions import GRPCError  # noqa: E402

from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.grpc_listener import GrpcListener  # noqa: E402
from persimmonusher_node.keeper_followers import FollowerCount  # noqa: E402
from persimmonusher_node.loop import start_coroutine  # noqa: E402
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_node.tiers.follow_service import FollowService  # noqa: E402
from persimmonusher_protocol import control_pb2 as pb  # noqa: E402


class Keeper:
    """A keeper's service for followers at an address, without a log."""

    def __init__(self, name: str, address: str, addresses: dict[str, str]) -> None:
        members = tuple(
            SimpleNamespace(address=address, failure_domain="north", keeper=name)
            for name, address in addresses.items()
        )
        log = SimpleNamespace(members=SimpleNamespace(members=members))
        replica = SimpleNamespace(log=log, is_leader=True, find_majority_age=lambda now: 0.02)
        role = SimpleNamespace(
            keeper=SimpleNamespace(replica=replica), followers=FollowerCount(), identity=name
        )
        view = SimpleNamespace(
            revision=lambda: 0,
            on_change=lambda listener: None,
            servers=SimpleNamespace(is_in_domain=lambda server, domain: True),
        )
        self.channels = ChannelPool("peers")
        self.service = CountingService(
            "north", cast("Any", role), cast("Any", view), self.channels, SystemClock(), Random(1)
        )
        self.listener = GrpcListener(address, [self.service], {"peers": "peer"})
        self.listener.start()
        self.stream = FollowerStream()
        self.task = start_coroutine(self.service.Follow(cast("Any", self.stream)))

    def stop(self) -> None:
        self.task.cancel()
        self.listener.stop()
        self.channels.__exit__(None, None, None)

    def report(self, entry: str, work_ms: int) -> None:
        """Record an entry's report with one request at a server of the entry's own."""
        load = pb.Load(server=f"server-of-{entry}", in_progress=1, work_ms=work_ms)
        loads = {load.server: load.in_progress}
        now = SystemClock().monotonic()
        self.service._loads.record(entry, loads, now)
        self.service.fleet.record_report(pb.LoadReport(instance=entry, loads=[load]), loads, now)


class CountingService(FollowService):
    """Counts the calls of other keepers; may answer as a previous version, or never."""

    calls = 0
    is_previous = False
    is_silent = False

    async def ShareLoads(self, stream: Any) -> None:  # noqa: N802
        self.calls += 1
        while self.is_silent:
            await asyncio.sleep(0.1)
        if self.is_previous:
            raise GRPCError(Status.UNIMPLEMENTED)
        await super().ShareLoads(stream)


class FollowerStream:
    """The stream of one entry, which keeps the last update with loads."""

    def __init__(self) -> None:
        self.last = pb.FollowUpdate()

    async def recv_message(self) -> pb.FollowRequest:
        return pb.FollowRequest(instance="reader", failure_domain="north")

    async def send_message(self, update: pb.FollowUpdate) -> None:
        if update.has_loads or update.has_fleet_loads:
            self.last = update


class LoadExchangeTest(unittest.TestCase):
    """Load pattern: one entry of each keeper has a steady request in progress."""

    def setUp(self) -> None:
        names = ("k1", "k2", "k3")
        self.addresses = {name: f"127.0.0.1:{find_port()}" for name in names}
        self.keepers = {name: self.start(name) for name in names}

    def start(self, name: str) -> Keeper:
        keeper = Keeper(name, self.addresses[name], self.addresses)
        self.addCleanup(keeper.stop)
        return keeper

    def run_for(self, seconds: float, work_ms: int = 700) -> None:
        for _ in range(round(seconds / 0.2)):
            for name, keeper in self.keepers.items():
                keeper.report(f"e-{name}", work_ms)
            eventlet.sleep(0.2)

    def list_servers(self, name: str) -> list[str]:
        return sorted(load.server for load in self.keepers[name].stream.last.fleet_loads)

    # Guards against calls between keepers, and other updates, where no entry reports work.
    def test_nothing_is_shared_without_work(self) -> None:
        self.run_for(1.4, work_ms=0)
        for keeper in self.keepers.values():
            self.assertEqual(keeper.service.calls, 0)
            last = keeper.stream.last
            expected = pb.FollowUpdate(
                loads=last.loads, has_loads=last.has_loads, majority_age_ms=20, entries=1
            )
            self.assertEqual(last.SerializeToString(), expected.SerializeToString())

    # Guards against a keeper of the previous version that is called twice a second in vain, and
    # one that hangs delaying what the others get.
    def test_each_keeper_gets_the_work_of_those_that_share(self) -> None:
        self.keepers["k2"].service.is_previous = True
        self.keepers["k3"].service.is_silent = True
        self.run_for(2.4)
        servers = [f"server-of-e-{name}" for name in self.keepers]
        self.assertEqual(self.list_servers("k1"), servers)
        self.assertLessEqual(self.keepers["k2"].service.calls, 2)
        self.keepers["k3"].service.is_silent = False
        self.run_for(2.0)
        self.assertIn("server-of-e-k1", self.list_servers("k3"))

    # Guards against a keeper that comes back under its address staying without the others' work.
    def test_a_restarted_keeper_gets_the_work_again(self) -> None:
        self.run_for(1.4)
        self.keepers.pop("k2").stop()
        for keeper in self.keepers.values():
            # The end of a process closes its connections; a listener in the same process doesn't.
            keeper.channels.forget(self.addresses["k2"])
        self.run_for(2.0)
        self.assertEqual(self.list_servers("k1"), ["server-of-e-k1", "server-of-e-k3"])
        self.keepers["k2"] = self.start("k2")
        self.run_for(3.0)
        for name in self.keepers:
            self.assertEqual(self.list_servers(name), [f"server-of-e-k{n}" for n in (1, 2, 3)])


if __name__ == "__main__":
    unittest.main()
