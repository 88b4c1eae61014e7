"""One stream of updates from one keeper, and the questions how fresh that keeper is."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from random import Random
from typing import Final

import structlog

from persimmonusher_agreement.configuration_objects import Batch, Record
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.keeper_wire import decode_record
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.tiers.keeper_port import KeeperAnswer, KeeperPort, ReportedLoads
from persimmonusher_node.tiers.message_delays import SenderDelays
from persimmonusher_node.tiers.packed_parts import unpack_part
from persimmonusher_protocol import control_pb2

logger = structlog.get_logger(__name__)

ASK_INTERVAL_SECONDS: Final = 0.4
"""Mean time between questions: about the time that one request takes."""
OVERDUE_SECONDS: Final = 0.75
"""Time without an answer or an update after which one is overdue: the longest time between two, and
long for the way there and back."""
STALE_FRACTION: Final = 0.6
"""Part of `stale_seconds` for which a keeper may be out of contact with a majority before the entry
looks for another one: a single lost heartbeat is no reason to switch."""
OLD_FRACTION: Final = 0.8
"""The same for the age that the latest answer has reached, however fresh it was at first."""


class StreamOwner(ABC):
    """Takes what streams bring."""

    @abstractmethod
    def list_loads(self) -> ReportedLoads:
        """Return what this entry reports to the keeper."""

    @abstractmethod
    def apply_batch(self, batch: Batch) -> None:
        """Put a whole batch of changes in force."""

    @abstractmethod
    def apply_update(self, update: control_pb2.FollowUpdate) -> None:
        """Apply everything of an update but its changes."""

    @abstractmethod
    def apply_fleet_work(self, update: control_pb2.FollowUpdate, delay: float) -> None:
        """Apply the fleet's loads and costs of an update that was delayed by some seconds."""

    @abstractmethod
    def record_answer(self, answer: KeeperAnswer) -> None:
        """Record the keeper's answer how fresh it is."""


class KeeperStream:
    """Follows one keeper from `start` to `close`, or until an error ends it."""

    def __init__(
        self,
        found: KeeperAnswer,
        keepers: KeeperPort,
        owner: StreamOwner,
        clock: Clock,
        random: Random,
    ) -> None:
        self.place = found.place
        self._keepers = keepers
        self._owner = owner
        self._clock = clock
        self._random = random
        self._answer = found
        self._answered_at = clock.monotonic()
        self._updated_at = self._answered_at
        self.has_updates = False
        self.is_open = True
        self.error: BaseException | None = None
        """What ended the stream; None while it is open and after `close`."""
        self._changed = asyncio.Event()
        """Set by the first update and by the end of the stream."""
        self._delays = SenderDelays()
        self._records: list[Record] = []
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    def start(self, since: Revision) -> None:
        """Open the stream for the changes after a revision, and begin to ask."""
        self._tasks = (start_coroutine(self._receive(since)), start_coroutine(self._ask()))

    def close(self) -> None:
        """End the stream and the questions."""
        self._end(None)
        for task in self._tasks:
            task.cancel()

    async def wait_for_change(self, seconds: float) -> None:
        """Wait for the first update or the end of the stream, but no longer than some seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), seconds)
        if self.is_open:
            self._changed.clear()

    def find_unhealthy_at(self, stale_seconds: float, in_force_at: float) -> float:
        """Return when to look for another keeper, unless something arrives before.

        `in_force_at` is the reading of the clock before which every acknowledged change is in force
        here, or minus infinity while the whole configuration is due. Between two answers the ages
        grow by themselves. That alone is no reason, until the next answer or, if changes are due,
        the next update is overdue.
        """
        known_at, answered_at = self._answer.known_at, self._answered_at
        stale_age = stale_seconds * STALE_FRACTION
        if answered_at > known_at + stale_age:
            return answered_at
        old_at = known_at + stale_seconds * OLD_FRACTION
        silent_at = max(known_at + stale_age, answered_at + OVERDUE_SECONDS)
        if in_force_at == float("-inf"):
            return min(old_at, silent_at)
        mute_at = max(in_force_at + stale_age, self._updated_at + OVERDUE_SECONDS)
        return min(old_at, silent_at, mute_at)

    def is_overdue(self, now: float) -> bool:
        """Return whether the keeper owes an answer for longer than an undisturbed call takes."""
        return now > self._answered_at + OVERDUE_SECONDS

    def _end(self, error: BaseException | None) -> None:
        if self.is_open:
            self.is_open = False
            self.error = error
            self._changed.set()

    async def _receive(self, since: Revision) -> None:
        try:
            async with contextlib.aclosing(self._keepers.follow(self.place, since)) as updates:
                async for update in updates:
                    if not self.is_open:
                        return
                    self._apply(update)
        except CALL_ERRORS as error:
            self._end(error)
        except Exception as error:
            logger.exception("following-failed", keeper=self.place.address)
            self._end(ConnectionError(f"an update from {self.place.address} failed: {error!r}"))

    def _apply(self, update: control_pb2.FollowUpdate) -> None:
        """Apply the changes before the rest, as the rest may refer to them."""
        part = unpack_part(update)
        if part is not None:
            self._records.extend(map(decode_record, part.records))
            if part.last:
                records, self._records = tuple(self._records), []
                since, revision = Revision(part.since), Revision(part.revision)
                self._owner.apply_batch(Batch(part.lineage, since, revision, records, part.whole))
        self._updated_at = self._clock.monotonic()
        self._owner.apply_update(update)
        if update.has_fleet_loads or update.costs:
            self._owner.apply_fleet_work(update, self._find_delay(update))
        if not self.has_updates:
            self.has_updates = True
            self._changed.set()

    def _find_delay(self, update: control_pb2.FollowUpdate) -> float:
        if not update.HasField("sent"):
            return 0.0
        return self._delays.find_delay(update.sent.milliseconds / 1000.0, self._updated_at)

    async def _ask(self) -> None:
        """Ask how fresh the keeper is at intervals while the stream is open.

        The end of the stream is checked, not only the task cancelled: a cancellation that arrives
        while a call is ending by another error comes out of it as that error.
        """
        while self.is_open:
            await asyncio.sleep(ASK_INTERVAL_SECONDS * self._random.uniform(0.9, 1.1))
            try:
                answer = await self._keepers.ask_freshness(self.place, self._owner.list_loads())
            except CALL_ERRORS as error:
                logger.debug("freshness-call-failed", keeper=self.place.address, error=repr(error))
                continue
            if answer is not None and self.is_open:
                self._answer, self._answered_at = answer, self._clock.monotonic()
                self._owner.record_answer(answer)
