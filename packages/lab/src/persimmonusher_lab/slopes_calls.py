"""Slopes of calls between processes, client and server together."""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

from persimmonusher_lab.slopes import MICROSECONDS_PER_SECOND, Slope
from persimmonusher_lab.slopes_claims import make_register, make_request, make_roster
from persimmonusher_node.claims import RegisterService
from persimmonusher_node.claims_link import ClaimsLink
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.grpc_listener import GrpcListener
from persimmonusher_node.loop import run_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_protocol import claims_pb2 as pb
from persimmonusher_protocol.claims_grpc import ClaimsStub

CALLS = 2_000
CONCURRENT_CLAIMS = 10
TOKEN = "measure"


def measure_calls() -> list[Slope]:
    """Measure calls over gRPC on loopback; requires `loop.install()` before."""
    address = f"127.0.0.1:{_find_port()}"
    service = RegisterService(make_register(make_roster(5)), SystemClock())
    listener = GrpcListener(address, [service], {TOKEN: "peer"})
    listener.start()
    try:
        with ChannelPool(TOKEN) as channels:
            stub = ClaimsStub(channels.get(address))
            link = ClaimsLink(lambda: channels.get(address))
            unary = _measure(lambda numbers: _describe(stub, numbers))
            alone = _measure(lambda numbers: _claim(link, numbers, 1))
            together = _measure(lambda numbers: _claim(link, numbers, CONCURRENT_CLAIMS))
            link.close()
    finally:
        listener.stop()
    both = "client and server in one process"
    return [
        Slope("gRPC call, both sides", unary, "us", f"unary, {both}"),
        Slope("claim on a link, both sides", alone, "us", f"one at a time, {both}"),
        Slope(
            "claim on a busy link, both sides",
            together,
            "us",
            f"{CONCURRENT_CLAIMS} at a time, {both}",
        ),
    ]


def _measure(make_calls: Callable[[range], Coroutine[Any, Any, None]]) -> float:
    run_coroutine(make_calls(range(100)))
    started = time.process_time()
    run_coroutine(make_calls(range(100, 100 + CALLS)))
    return (time.process_time() - started) / CALLS * MICROSECONDS_PER_SECOND


async def _describe(stub: ClaimsStub, numbers: range) -> None:
    for _ in numbers:
        await stub.Describe(pb.DescribeRequest(), timeout=5.0)


async def _claim(link: ClaimsLink, numbers: range, together: int) -> None:
    for first in numbers[::together]:
        requests = [make_request(number) for number in range(first, first + together)]
        votes = await asyncio.gather(*(link.claim(request, 5.0) for request in requests))
        assert all(vote is not None for vote in votes)


def _find_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
