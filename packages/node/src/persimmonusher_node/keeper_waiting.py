"""Calls at a keeper that wait for a majority: changes and confirmed reads."""

import asyncio
from collections.abc import Awaitable, Mapping
from typing import Final, TypeVar

from persimmonusher_agreement.configuration_keeper import ConfigurationKeeper, ReadTicket
from persimmonusher_agreement.configuration_objects import Verdict
from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_model.identifiers import Revision

T = TypeVar("T")

MAJORITY_TIMEOUT_SECONDS: Final = 3.0
"""Time that a call waits for a majority before its outcome is reported as unknown."""


MAX_WAITING_CALLS: Final = 1_000
"""Calls that may wait at the same time: the target rate takes half an hour to make as many changes,
here within three seconds. More can only come from a runaway script, and refusing them keeps the log
available to others."""


class WaitingCalls:
    """Futures of the waiting calls: a turn of the keeper resolves each, or all fail together."""

    def __init__(self) -> None:
        self._changes: dict[str, list[asyncio.Future[Verdict]]] = {}
        self._reads: list[tuple[ReadTicket, asyncio.Future[Revision]]] = []

    def check_limit(self) -> None:
        """Raise UNAVAILABLE if too many calls wait already; call it before appending anything."""
        if len(self._changes) + len(self._reads) >= MAX_WAITING_CALLS:
            message = f"{MAX_WAITING_CALLS} calls wait for a majority already"
            raise UsherError(ErrorCode.UNAVAILABLE, message)

    def wait_for_verdict(self, change_id: str) -> Awaitable[Verdict]:
        """Wait for the verdict on a change; raises UNAVAILABLE with its outcome unknown."""
        future: asyncio.Future[Verdict] = asyncio.get_event_loop().create_future()
        self._changes.setdefault(change_id, []).append(future)
        return _wait(future)

    def wait_for_read(self, ticket: ReadTicket) -> Awaitable[Revision]:
        """Wait until a majority has confirmed the leader; raises UNAVAILABLE without one."""
        future: asyncio.Future[Revision] = asyncio.get_event_loop().create_future()
        self._reads.append((ticket, future))
        return _wait(future)

    def answer(self, keeper: ConfigurationKeeper, verdicts: Mapping[str, Verdict]) -> None:
        """Resolve the calls that a turn decided; fail all others if this keeper doesn't lead."""
        for change_id, verdict in verdicts.items():
            for future in self._changes.pop(change_id, ()):
                if not future.done():
                    future.set_result(verdict)
        for ticket, read in self._reads:
            if not read.done() and keeper.is_confirmed(ticket):
                read.set_result(keeper.configuration.revision)
        self._reads = [(ticket, read) for ticket, read in self._reads if not read.done()]
        if not keeper.replica.is_leader:
            self.fail("this keeper doesn't lead any more")

    def fail(self, reason: str) -> None:
        """Fail all waiting calls with UNAVAILABLE: their outcome is unknown."""
        futures: list[asyncio.Future[Verdict] | asyncio.Future[Revision]] = []
        for waiting in self._changes.values():
            futures.extend(waiting)
        futures.extend(read for _, read in self._reads)
        for future in futures:
            if not future.done():
                future.set_exception(UsherError(ErrorCode.UNAVAILABLE, reason))
        self._changes.clear()
        self._reads.clear()


async def _wait(future: "asyncio.Future[T]") -> T:
    try:
        return await asyncio.wait_for(future, MAJORITY_TIMEOUT_SECONDS)
    except TimeoutError:
        message = f"no majority answered within {MAJORITY_TIMEOUT_SECONDS} s"
        raise UsherError(ErrorCode.UNAVAILABLE, message) from None
