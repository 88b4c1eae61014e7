"""Questions to several keepers, of which some may be silent, slow or stale."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from persimmonusher_agreement.keeper_choice import KeeperPlace
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import start_coroutine

T = TypeVar("T")


@dataclass(frozen=True)
class Pace:
    """How long keepers are waited for, in seconds."""

    head_start: float
    """Time that a keeper has before the next one is asked too."""
    last_wait: float
    """Wait for the answers that are missing once all keepers were asked."""


QUICK_PACE: Final = Pace(head_start=0.1, last_wait=0.5)
"""Many round trips, and so short that silent keepers don't use up the time in which a change must
be in force."""


@dataclass(frozen=True)
class KeeperReply(Generic[T]):
    """What came of the question to one keeper."""

    place: KeeperPlace
    answer: T | None
    """None if the keeper failed, or was silent for at least a head start."""
    error: BaseException | None = None
    """Why there is no answer."""


class KeeperQuestions(Generic[T]):
    """Asks keepers in order until an answer is enough.

    The next keeper is asked as soon as one has failed or has given an answer that isn't enough, and
    after a head start if it is silent. A silent one is still waited for meanwhile.
    """

    def __init__(
        self,
        ask: Callable[[KeeperPlace], Awaitable[T]],
        is_enough: Callable[[T], bool],
        pace: Pace = QUICK_PACE,
    ) -> None:
        self._ask = ask
        self._is_enough = is_enough
        self._pace = pace
        self.replies: list[KeeperReply[T]] = []
        """In the order in which they came; those of silent keepers come last."""
        self._open: dict[asyncio.Task[KeeperReply[T]], tuple[KeeperPlace, float]] = {}

    async def run(self, places: Sequence[KeeperPlace]) -> T | None:
        """Ask the keepers in this order; return the first answer that is enough, or None."""
        waiting = list(places)
        try:
            while waiting or self._open:
                if waiting:
                    self._start(waiting.pop(0))
                patience = self._pace.head_start if waiting else self._pace.last_wait
                done, _ = await asyncio.wait(
                    self._open, timeout=patience, return_when=asyncio.FIRST_COMPLETED
                )
                found = self._collect(done)
                if found is not None:
                    return found
                if not done and not waiting:
                    return None
            return None
        finally:
            self._close()

    def _start(self, place: KeeperPlace) -> None:
        now = asyncio.get_event_loop().time()
        self._open[start_coroutine(self._ask_one(place))] = (place, now)

    async def _ask_one(self, place: KeeperPlace) -> KeeperReply[T]:
        try:
            return KeeperReply(place, await self._ask(place))
        except CALL_ERRORS as error:
            return KeeperReply(place, None, error)

    def _collect(self, done: set[asyncio.Task[KeeperReply[T]]]) -> T | None:
        found: T | None = None
        for task in done:
            del self._open[task]
            reply = task.result()
            self.replies.append(reply)
            if found is None and reply.answer is not None and self._is_enough(reply.answer):
                found = reply.answer
        return found

    def _close(self) -> None:
        """Cancel the open questions, and count those that had a head start as silent.

        A reply that has just come is kept: its answer may hold something to be closed.
        """
        now = asyncio.get_event_loop().time()
        for task, (place, asked_at) in self._open.items():
            if task.done() and not task.cancelled():
                self.replies.append(task.result())
                continue
            task.cancel()
            if now - asked_at >= self._pace.head_start:
                self.replies.append(KeeperReply(place, None, TimeoutError("no answer")))
        self._open.clear()
