"""Which keepers answer an entry's requests for quota, by the requests and by checks."""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from math import inf
from random import Random
from typing import Final

import structlog

from persimmonusher_decisions.quota_paths import DOUBT_SECONDS, Contacts
from persimmonusher_model.clock import Clock
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.tiers.quota_port import QuotaPort
from persimmonusher_protocol import control_pb2 as pb

logger = structlog.get_logger(__name__)

CHECK_INTERVAL_SECONDS: Final = 0.3
"""Mean pause between two checks of lost keepers while none is reached."""
SLOW_CHECK_INTERVAL_SECONDS: Final = 2.0
"""The same while another keeper is reached."""
MAX_LOST_CHECKS: Final = 2
"""Lost keepers that are checked at a time while none is reached: each takes a new connection."""
UNABLE_CHECK_SECONDS: Final = 1.0
"""Shortest time between two checks because a keeper answered that it can't grant anything."""
KEEPER_TIMEOUT_SECONDS: Final = 0.3
"""Longest wait for one keeper or helper: longer than a loan between keepers takes."""


def do_nothing() -> None:
    """Do nothing; the handler until there is a router."""


class KeeperReach:
    """Sends requests for quota to keepers, and checks in the background those that are lost."""

    def __init__(
        self,
        list_keepers: Callable[[], Sequence[str]],
        calls: QuotaPort,
        clock: Clock,
        random: Random,
        tally: Counter[tuple[str, str]],
    ) -> None:
        self._list_keepers = list_keepers
        """Returns the keepers' addresses in the order in which to ask them."""
        self._calls = calls
        self._clock = clock
        self._random = random
        self._tally = tally
        self._keepers = Contacts()
        self._checking: asyncio.Task[None] | None = None
        self._checks: dict[str, asyncio.Task[bool]] = {}
        """Checks in progress, by keeper."""
        self._unable_checked_at = -inf
        self._is_stopped = False
        self.lost_at: float | None = None
        """When no keeper could be used any more; None while one can."""
        self.on_lost: Callable[[], None] = do_nothing
        """Is called when no keeper can be used any more."""
        self.on_reached: Callable[[], None] = do_nothing
        """Is called when a keeper answers again after that."""

    def stop(self) -> None:
        """End the checks."""
        self._is_stopped = True
        for task in (self._checking, *self._checks.values()):
            if task is not None:
                task.cancel()

    def find(self, tried: Collection[str]) -> str | None:
        """Return the keeper to call for a request that was already sent to `tried`."""
        usable = self._keepers.list_usable(self._list_keepers(), self._clock.monotonic())
        return next((keeper for keeper in usable if keeper not in tried), None)

    def find_doubted(self, tried: Collection[str]) -> str | None:
        """Return a keeper that is not known to be lost, though it hasn't answered yet."""
        doubted = self._keepers.list_doubted(self._list_keepers(), self._clock.monotonic())
        return next((keeper for keeper in doubted if keeper not in tried), None)

    async def ask(
        self, keeper: str, request: pb.QuotaRequest, timeout: float
    ) -> pb.QuotaReply | None:
        """Return a keeper's reply, which may be empty, or None if the call failed."""
        called = self._clock.monotonic()
        self._keepers.record_call(keeper, called)
        doubt = asyncio.get_running_loop().call_later(DOUBT_SECONDS, self._start_checking)
        try:
            reply = await self._calls.take(keeper, request, timeout)
        except asyncio.CancelledError:
            self._start_checking()
            raise
        except CALL_ERRORS as error:
            logger.debug("quota-call-failed", keeper=keeper, error=repr(error))
            self._record_failure(keeper, called)
            self._tally["keeper", "failed"] += 1
            return None
        finally:
            doubt.cancel()
        self._record_answer(keeper)
        self._tally["keeper", "answered" if reply.HasField("granted") else "unable"] += 1
        if not reply.HasField("granted"):
            self._check_unable(keeper)
        return reply

    async def reaches_any(self) -> bool:
        """Return whether a keeper that may grant tokens has answered just now."""
        keepers = self._list_keepers()
        usable = self._keepers.list_usable(keepers, self._clock.monotonic())
        if not usable:
            self._start_checking()
            return False
        if usable[0] not in self._keepers.list_unproven(usable, self._clock.monotonic()):
            return True
        check = self._check(usable[0])
        await asyncio.wait([check], timeout=DOUBT_SECONDS)
        return check.done() and not check.cancelled() and check.result()

    def _record_answer(self, keeper: str) -> None:
        self._keepers.record_answer(keeper, self._clock.monotonic())
        if self.lost_at is not None:
            self.lost_at = None
            self.on_reached()

    def _record_failure(self, keeper: str, called: float) -> None:
        self._keepers.record_failure(keeper, called)
        self._start_checking()

    def _start_checking(self) -> None:
        """Check the keepers in the background, if that isn't being done already."""
        self._note_lost()
        if not self._is_stopped and (self._checking is None or self._checking.done()):
            self._checking = start_coroutine(self._check_lost())

    async def _check_lost(self) -> None:
        """Check all keepers without a recent answer, until none is lost."""
        while True:
            keepers = self._list_keepers()
            try:
                await self._check_round(keepers)
            except Exception:
                # If this loop ended, the entry would never use a lost keeper again.
                logger.exception("quota-checks-failed")
            now = self._clock.monotonic()
            if not self._keepers.has_lost(keepers, now):
                return
            self._note_lost()
            reached = self._keepers.list_usable(keepers, now)
            interval = SLOW_CHECK_INTERVAL_SECONDS if reached else CHECK_INTERVAL_SECONDS
            await asyncio.sleep(interval * self._random.uniform(0.5, 1.5))

    async def _check_round(self, keepers: Sequence[str]) -> None:
        self._keepers.retain(keepers)
        checked = self._keepers.list_unproven(keepers, self._clock.monotonic())
        if not self._keepers.list_not_lost(keepers):
            checked = self._random.sample(checked, min(MAX_LOST_CHECKS, len(checked)))
        await asyncio.gather(*map(self._check, checked))

    def _check_unable(self, keeper: str) -> None:
        """Check a keeper that can't grant anything, which may be out of touch with the others."""
        now = self._clock.monotonic()
        if not self._is_stopped and now >= self._unable_checked_at + UNABLE_CHECK_SECONDS:
            self._unable_checked_at = now
            self._check(keeper)

    def _check(self, keeper: str) -> "asyncio.Task[bool]":
        """Check a keeper, once for all that wait for it."""
        check = self._checks.get(keeper)
        if check is None:
            check = self._checks[keeper] = start_coroutine(self._run_check(keeper))
            check.add_done_callback(lambda _: self._checks.pop(keeper, None))
        return check

    async def _run_check(self, keeper: str) -> bool:
        """Return whether a keeper answers in time that it may grant tokens."""
        called = self._clock.monotonic()
        self._keepers.record_call(keeper, called)
        doubt = asyncio.get_running_loop().call_later(1.01 * DOUBT_SECONDS, self._note_lost)
        try:
            able = await self._calls.check(keeper, KEEPER_TIMEOUT_SECONDS)
        except CALL_ERRORS:
            self._record_failure(keeper, called)
            return False
        finally:
            doubt.cancel()
        if able:
            self._record_answer(keeper)
        else:
            self._record_failure(keeper, self._clock.monotonic())
        return able

    def _note_lost(self) -> None:
        """Report it if no keeper can be used."""
        now = self._clock.monotonic()
        keepers = self._list_keepers()
        if self._is_stopped or not keepers or self._keepers.list_usable(keepers, now):
            return
        if self.lost_at is None:
            self.lost_at = now
            self.on_lost()
