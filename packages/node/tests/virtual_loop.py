"""An event loop on virtual time: it never waits, and its clock jumps to the next timer."""

import asyncio
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from persimmonusher_model.clock import Clock


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs coroutines that wait for timers and for each other only."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._selector = self

    def time(self) -> float:
        return self._now

    def select(self, timeout: float | None) -> list[Any]:
        """Take the place of a selector: no event ever comes but the next timer."""
        assert timeout is not None, "everything waits, and no timer is set"
        self._now += timeout
        return []

    def _process_events(self, event_list: list[Any]) -> None:
        assert not event_list

    def _write_to_self(self) -> None:
        """Do nothing: nothing wakes this loop from outside."""

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine to its end, also inside of another loop's callback, and close."""
        outer = asyncio._get_running_loop()
        asyncio._set_running_loop(None)
        try:
            self.run_until_complete(coroutine)
            for task in asyncio.all_tasks(self):
                task.cancel()
            self.run_until_complete(asyncio.sleep(0))
            self.run_until_complete(self.shutdown_asyncgens())
        finally:
            asyncio._set_running_loop(outer)
            self.close()


class LoopClock(Clock):
    """The clock of a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        return self._loop.time()

    def wall(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self._loop.time())
