"""The search for a keeper to follow: asks keepers, opens streams, and remembers which failed."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from persimmonusher_agreement.keeper_choice import KeeperChoice, KeeperPlace
from persimmonusher_model.clock import Clock
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.settings import Settings
from persimmonusher_node.tiers.follow_lease import FollowLease
from persimmonusher_node.tiers.keeper_port import KeeperAnswer, KeeperPort
from persimmonusher_node.tiers.keeper_search import (
    QUICK_PACE,
    KeeperQuestions,
    KeeperReply,
    Pace,
)
from persimmonusher_node.tiers.keeper_stream import STALE_FRACTION, KeeperStream, StreamOwner

FIRST_UPDATE_SECONDS: Final = 1.2
"""Longest wait for a new stream's first update."""
WHOLE_PACE: Final = Pace(head_start=0.6, last_wait=1.2)
"""While the whole configuration is due: it must not cross failure domains twice for a keeper that
is only slow."""
LOST_AVOID_SECONDS: Final = 5.0
"""Time for which a lost keeper is asked only after all others."""
STALE_AVOID_SECONDS: Final = 0.6
"""The same for a keeper that was only stale."""


@dataclass(frozen=True)
class OpenedKeeper:
    """A keeper's answer, and the stream that was opened because it is fresh."""

    answer: KeeperAnswer
    stream: KeeperStream | None

    def has_stream(self) -> bool:
        """Return whether the keeper is fresh and its stream works."""
        return self.stream is not None


class KeeperFinder:
    """Finds a keeper whose stream can be followed, the preferred ones first."""

    def __init__(
        self,
        settings: Settings,
        view: ConfigurationClient,
        keepers: KeeperPort,
        owner: StreamOwner,
        lease: FollowLease,
        clock: Clock,
        random: Random,
    ) -> None:
        self._stale_seconds = settings.stale_seconds
        self._view = view
        self._keepers = keepers
        self._owner = owner
        self._lease = lease
        self._clock = clock
        self._random = random
        self._choice = KeeperChoice(settings.failure_domain, random)

    async def list_keepers(self, seeds: Sequence[KeeperPlace]) -> Sequence[KeeperPlace] | None:
        """Ask seeds for the keepers; return None if none answers."""
        questions = KeeperQuestions(self._keepers.list_keepers, bool)
        listed = await questions.run(self._choice.order(seeds, self._clock.monotonic()))
        self._record_failures(questions.replies)
        return listed

    def find_better(
        self, followed: KeeperPlace, places: Sequence[KeeperPlace]
    ) -> KeeperPlace | None:
        """Return a keeper that is preferred to the followed one, or None."""
        return self._choice.find_better(followed, places, self._clock.monotonic())

    async def open_fresh(
        self, places: Sequence[KeeperPlace]
    ) -> tuple[KeeperStream | None, Sequence[KeeperAnswer]]:
        """Open a stream from the first keeper that is fresh; return it, and all answers."""
        pace = QUICK_PACE if self._view.is_configured() else WHOLE_PACE
        questions = KeeperQuestions(self._open_if_fresh, OpenedKeeper.has_stream, pace)
        chosen = await questions.run(self._choice.order(places, self._clock.monotonic()))
        self._record_failures(questions.replies)
        opened = [reply.answer for reply in questions.replies if reply.answer is not None]
        for one in opened:
            if one.stream is None:
                text = f"stale, {one.answer.age:.1f} s"
                self._lease.ages.record_attempt(one.answer.place.address, text)
                self.record_stale(one.answer.place)
            elif one is not chosen:
                one.stream.close()
        return None if chosen is None else chosen.stream, [one.answer for one in opened]

    async def open_least_stale(self, answers: Sequence[KeeperAnswer]) -> KeeperStream | None:
        """Open a stream from the keeper with the freshest answer; return None if it fails."""
        best = max(answers, key=lambda answer: answer.known_at)
        try:
            return await self._open(best)
        except CALL_ERRORS as error:
            self.record_failure(best.place, error)
            return None

    def record_failure(self, place: KeeperPlace, error: BaseException | None) -> None:
        """Ask a keeper after the others for some time, and on a new connection if it is silent."""
        self._lease.ages.record_attempt(place.address, str(error) or type(error).__name__)
        self._avoid(place, LOST_AVOID_SECONDS)
        if isinstance(error, TimeoutError):
            self._keepers.reconnect(place)

    def record_stale(self, place: KeeperPlace) -> None:
        """Ask a keeper after the others for a short time, as it answered that it is stale."""
        self._avoid(place, STALE_AVOID_SECONDS)

    async def _open_if_fresh(self, place: KeeperPlace) -> OpenedKeeper:
        answer = await self._ask_freshness(place)
        self._lease.record_answer(answer)
        is_fresh = self._clock.monotonic() - answer.known_at <= self._stale_seconds * STALE_FRACTION
        return OpenedKeeper(answer, await self._open(answer) if is_fresh else None)

    async def _open(self, answer: KeeperAnswer) -> KeeperStream:
        """Return a stream that has brought its first update; raise what ended it otherwise."""
        stream = KeeperStream(answer, self._keepers, self._owner, self._clock, self._random)
        stream.start(self._view.revision())
        try:
            await stream.wait_for_change(FIRST_UPDATE_SECONDS)
            if not stream.has_updates:
                raise stream.error or TimeoutError("no update")
            return stream
        finally:
            if not stream.has_updates:
                stream.close()

    async def _ask_freshness(self, place: KeeperPlace) -> KeeperAnswer:
        answer = await self._keepers.ask_freshness(place, None)
        if answer is None:
            raise ConnectionError(f"the log of {place.address} isn't open")
        return answer

    def _record_failures(self, replies: Sequence[KeeperReply[Any]]) -> None:
        for reply in replies:
            if reply.answer is None:
                self.record_failure(reply.place, reply.error)

    def _avoid(self, place: KeeperPlace, seconds: float) -> None:
        self._choice.avoid_until(place.address, self._clock.monotonic() + seconds)
