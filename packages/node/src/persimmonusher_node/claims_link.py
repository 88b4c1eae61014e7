"""A link to one peer's register: one gRPC stream that carries many claims at a time.

Each keyed request calls five registers twice, and most of the cost of a unary gRPC call is opening
and ending its stream. Here the stream stays open, and all claims and settlements of one turn of the
event loop go out as one message.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, Final

from grpclib.client import Channel, Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError

from persimmonusher_agreement.claims import ClaimRequest, Settlement, Vote
from persimmonusher_node import claims_wire as wire
from persimmonusher_node.loop import start_coroutine
from persimmonusher_protocol import claims_pb2 as pb
from persimmonusher_protocol.claims_grpc import ClaimsStub

CALL_FAILURES: Final = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)
MAX_WAITING_CALLS: Final = 10_000
"""Bound on unanswered calls to one peer, above the number that it answers within any timeout."""


class ClaimsLink:
    """Calls one peer's register.

    A broken stream fails the calls that wait for answers; the next call opens a new stream.
    `get_channel` returns the channel for one call, and replaces one that has been silent for long:
    each claim counts as a call, so that the stream doesn't stay on a silent connection.
    """

    def __init__(self, get_channel: Callable[[], Channel]) -> None:
        self._get_channel = get_channel
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Vote | bool | None]] = {}
        self._unsent = pb.Asked()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def claim(self, request: ClaimRequest, timeout: float) -> Vote | None:
        """Return the register's vote, or None if none arrives within the timeout."""
        number = next(self._numbers)
        self._unsent.claims.add(number=number, request=wire.write_request(request))
        answer = await self._wait(number, timeout)
        return answer if isinstance(answer, Vote) else None

    async def settle(self, settlement: Settlement, timeout: float) -> bool:
        """Return whether the register confirmed the settlement within the timeout."""
        number = next(self._numbers)
        self._unsent.settlements.add(number=number, settlement=wire.write_settlement(settlement))
        return await self._wait(number, timeout) is True

    def close(self) -> None:
        """End the stream; waiting calls get no answer."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _wait(self, number: int, timeout: float) -> Vote | bool | None:
        if len(self._waiting) >= MAX_WAITING_CALLS:
            return None
        event_loop = asyncio.get_running_loop()
        answer: asyncio.Future[Vote | bool | None] = event_loop.create_future()
        self._waiting[number] = answer
        self._get_channel()
        timer = event_loop.call_later(timeout, self._answer, number, None)
        self._wake.set()
        if self._task is None or self._task.done():
            self._task = start_coroutine(self._run())
        try:
            return await answer
        finally:
            timer.cancel()
            self._waiting.pop(number, None)

    def _answer(self, number: int, answer: Vote | bool | None) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def _run(self) -> None:
        try:
            async with ClaimsStub(self._get_channel()).Exchange.open() as stream:
                await stream.send_request()
                receiver = start_coroutine(self._receive(stream))
                try:
                    await self._send(stream, receiver)
                finally:
                    receiver.cancel()
        except CALL_FAILURES:
            # The peer is gone or unreachable: its calls end without an answer, and others decide.
            return
        finally:
            self._unsent = pb.Asked()
            for number in list(self._waiting):
                self._answer(number, None)

    async def _send(
        self, stream: Stream[pb.Asked, pb.Answered], receiver: "asyncio.Task[Any]"
    ) -> None:
        while not receiver.done():
            unsent, self._unsent = self._unsent, pb.Asked()
            self._wake.clear()
            if unsent.claims or unsent.settlements:
                await stream.send_message(unsent)
            await self._wake.wait()

    async def _receive(self, stream: Stream[pb.Asked, pb.Answered]) -> None:
        try:
            async for message in stream:
                for voted in message.votes:
                    self._answer(voted.number, wire.read_vote(voted.vote))
                for number in message.settled:
                    self._answer(number, True)
        except CALL_FAILURES:
            # `_send` sees that the receiver has ended, and ends the stream.
            return
        finally:
            self._wake.set()
