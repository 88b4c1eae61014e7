"""Keepers on virtual time that an entry follows, with faults in series that overlap."""

import asyncio
from collections.abc import AsyncGenerator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

from virtual_loop import LoopClock

from persimmonusher_agreement.keeper_choice import KeeperPlace
from persimmonusher_decisions.notices import Notice
from persimmonusher_model.identifiers import Revision, ServerId
from persimmonusher_node.tiers.grpc_keepers import ANSWER_TIMEOUT_SECONDS, SILENCE_TIMEOUT_SECONDS
from persimmonusher_node.tiers.keeper_port import KeeperAnswer, KeeperPort
from persimmonusher_protocol import control_pb2, keeper_pb2

CHANGE_SECONDS: Final = 0.3
"""Time between two acknowledged changes."""
HEARTBEAT_SECONDS: Final = 0.4
"""A keeper's age without faults is one to two of these."""
WAY_SECONDS: Final = 0.002
SLOW_WAY_SECONDS: Final = 0.35
STATUS_SECONDS: Final = 0.5
"""Longest time between two updates of a stream."""
POLL_SECONDS: Final = 0.05
REJOIN_SECONDS: Final = 0.8
"""Time after a restart in which a keeper knows of no majority."""
NEVER_HEARD_SECONDS: Final = 3_600.0


class Fault(Enum):
    """What is wrong with a keeper, or with the way to it."""

    SILENT = "silent"
    """Calls hang, and streams bring nothing."""
    SLOW = "slow"
    """Each way there or back takes `SLOW_WAY_SECONDS`."""
    STALE = "stale"
    """It has no way to a majority, and serves what it holds."""
    DOWN = "down"
    """Calls are refused, and streams end."""
    MUTE = "mute"
    """Calls are answered, but streams bring nothing."""


@dataclass(frozen=True)
class FaultSpan:
    """A fault of one keeper from one reading of the clock to another."""

    keeper: int
    fault: Fault
    begin: float
    end: float


def draw_faults(random: Random, keepers: int, seconds: float) -> list[FaultSpan]:
    """Draw faults that begin in the first three quarters of a series."""
    spans = []
    for _ in range(random.randint(2, 3 * keepers)):
        begin = random.uniform(1.0, 0.75 * seconds)
        fault = random.choice(list(Fault))
        length = random.uniform(0.3, 2.0) if fault is Fault.DOWN else random.uniform(0.5, 25.0)
        spans.append(FaultSpan(random.randrange(keepers), fault, begin, begin + length))
    return spans


class VirtualKeepers(KeeperPort):
    """The calls of one entry to keepers with scripted faults."""

    def __init__(
        self, domains: Sequence[str], faults: Sequence[FaultSpan], clock: LoopClock
    ) -> None:
        self.places = [
            KeeperPlace(f"10.0.0.{number}:1", name) for number, name in enumerate(domains)
        ]
        self._faults = faults
        self._clock = clock
        self.calls = 0
        """Questions and opened streams so far."""

    def has_healthy(self, seconds: float) -> bool:
        """Return whether some keeper had no fault in the last seconds."""
        now = self._clock.monotonic()
        return any(
            not any(
                span.keeper == number and span.begin <= now and span.end >= now - seconds
                for span in self._faults
            )
            for number in range(len(self.places))
        )

    async def ask_freshness(
        self, place: KeeperPlace, loads: Mapping[ServerId, int] | None
    ) -> KeeperAnswer | None:
        asked_at = self._clock.monotonic()
        self.calls += 1
        number = self._find_number(place)
        await self._travel(number, ANSWER_TIMEOUT_SECONDS)
        now = self._clock.monotonic()
        age, revision = now - self._find_known_at(number, now), self._find_revision(number, now)
        await self._travel(number, ANSWER_TIMEOUT_SECONDS)
        if self._clock.monotonic() - asked_at > ANSWER_TIMEOUT_SECONDS:
            raise TimeoutError
        return KeeperAnswer(place, asked_at, age, revision)

    async def list_keepers(self, place: KeeperPlace) -> Sequence[KeeperPlace]:
        await self._travel(self._find_number(place), ANSWER_TIMEOUT_SECONDS)
        return self.places

    async def follow(
        self, place: KeeperPlace, since: Revision
    ) -> AsyncGenerator[control_pb2.FollowUpdate, None]:
        self.calls += 1
        number = self._find_number(place)
        await self._travel(number, SILENCE_TIMEOUT_SECONDS)
        sent_at, status_at, seen = self._clock.monotonic(), float("-inf"), since
        while True:
            now = self._clock.monotonic()
            if self._has(number, Fault.DOWN):
                raise ConnectionError
            if self._has(number, Fault.SILENT) or self._has(number, Fault.MUTE):
                if now - sent_at > SILENCE_TIMEOUT_SECONDS:
                    raise TimeoutError
            elif self._find_revision(number, now) > seen or now - status_at >= STATUS_SECONDS:
                update = self._make_update(number, seen, now)
                seen, sent_at, status_at = max(seen, self._find_revision(number, now)), now, now
                await self._travel(number, SILENCE_TIMEOUT_SECONDS)
                yield update
            await asyncio.sleep(POLL_SECONDS)

    async def report(self, place: KeeperPlace, notices: Sequence[Notice]) -> None:
        raise ConnectionError

    def reconnect(self, place: KeeperPlace) -> None:
        """Do nothing: there are no connections."""

    def _find_number(self, place: KeeperPlace) -> int:
        return next(n for n, one in enumerate(self.places) if one.address == place.address)

    def _has(self, number: int, fault: Fault) -> bool:
        return self._find_span(number, fault) is not None

    def _find_span(self, number: int, fault: Fault, margin: float = 0.0) -> FaultSpan | None:
        """Return the longest span of a fault that holds now, or held up to `margin` ago."""
        now = self._clock.monotonic()
        held = [
            span
            for span in self._faults
            if (span.keeper, span.fault) == (number, fault)
            and span.begin <= now < span.end + margin
        ]
        return min(held, key=lambda span: span.begin, default=None)

    async def _travel(self, number: int, timeout: float) -> None:
        """Wait for one way there or back; raise what a call would raise."""
        if self._has(number, Fault.DOWN):
            raise ConnectionError
        if self._has(number, Fault.SILENT):
            await asyncio.sleep(timeout)
            raise TimeoutError
        await asyncio.sleep(SLOW_WAY_SECONDS if self._has(number, Fault.SLOW) else WAY_SECONDS)

    def _find_known_at(self, number: int, now: float) -> float:
        if self._find_span(number, Fault.DOWN, REJOIN_SECONDS) is not None:
            return now - NEVER_HEARD_SECONDS
        stale = self._find_span(number, Fault.STALE, HEARTBEAT_SECONDS)
        reference = now if stale is None else stale.begin
        return reference - HEARTBEAT_SECONDS - reference % HEARTBEAT_SECONDS

    def _find_revision(self, number: int, now: float) -> Revision:
        stale = self._find_span(number, Fault.STALE, HEARTBEAT_SECONDS)
        return count_changes(now if stale is None else stale.begin)

    def _make_update(self, number: int, since: Revision, now: float) -> control_pb2.FollowUpdate:
        revision = self._find_revision(number, now)
        update = control_pb2.FollowUpdate(entries=1, majority_age_ms=0)
        for place in self.places:
            update.keepers.add(address=place.address, failure_domain=place.failure_domain)
        if revision > since:
            part = keeper_pb2.PullPart(lineage="l", since=since, revision=revision, last=True)
            update.part.CopyFrom(part)
        return update


def count_changes(now: float) -> Revision:
    """Return the revision that all changes acknowledged up to now lead to."""
    return Revision(1 + int(max(0.0, now) / CHANGE_SECONDS))


def find_lag(revision: Revision, now: float) -> float:
    """Return for how long the oldest change beyond a revision has been acknowledged, or 0."""
    return max(0.0, now - revision * CHANGE_SECONDS)
