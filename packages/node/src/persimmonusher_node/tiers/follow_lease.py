"""An entry's lease on its configuration, renewed by asking the followed keeper how fresh it is.

Each call also reports the entry's requests in progress, which the keeper sums up for all entries.
"""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Final

import structlog

from persimmonusher_agreement.freshness import FreshnessLease
from persimmonusher_agreement.keeper_choice import KeeperPlace
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import Revision, ServerId
from persimmonusher_node.ages import bound_age
from persimmonusher_node.configuration_ages import ConfigurationAges, LateSpell
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import Freshness
from persimmonusher_node.settings import Settings
from persimmonusher_protocol import control_pb2
from persimmonusher_protocol.control_grpc import ControlStub

logger = structlog.get_logger(__name__)

ASK_INTERVAL_SECONDS: Final = 0.4
"""Mean time between calls: about the time that one request takes."""
ANSWER_TIMEOUT_SECONDS: Final = 1.0
"""Longest wait for an answer: a later one would be too old to be useful."""
LATE_FRACTION: Final = 0.8
"""Part of `stale_seconds` beyond which the configuration is late: above the age without faults,
which is two heartbeats of the keepers and the time between two calls."""
SAMPLE_SECONDS: Final = 0.5
"""Interval of the samples of the age, which also come with each answer."""


class FollowLease:
    """Bounds the age of this entry's configuration by the answers of the followed keeper."""

    def __init__(
        self,
        settings: Settings,
        view: ConfigurationClient,
        channels: ChannelPool,
        clock: Clock,
        random: Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._channels = channels
        self._clock = clock
        self._random = random
        self._lease = FreshnessLease()
        self.ages = ConfigurationAges(settings.stale_seconds)
        self._answered_by = ""
        self._keeper_age = 0.0
        self._renewals = 0
        self.list_loads: Callable[[], Mapping[ServerId, int]] = dict
        """Returns this entry's requests in progress by server; set by the daemon."""

    def record_revision(self, revision: Revision) -> None:
        """Record that every change up to a revision is in force here."""
        self._lease.record_revision(revision)

    def is_current(self) -> bool:
        """Return whether no missing change can be in force elsewhere for over `stale_seconds`."""
        return self._find_age() <= self._settings.stale_seconds

    def is_late(self) -> bool:
        """Return whether too little is left of the time in which a change is to be in force."""
        return self._find_age() > self._settings.stale_seconds * LATE_FRACTION

    def find_freshness(self) -> Freshness:
        """Return how stale the configuration may be, and which keeper answered last."""
        return Freshness(self._find_age(), self._answered_by, self._keeper_age, self.is_late())

    async def renew(self, place: KeeperPlace) -> None:
        """Ask a keeper for its freshness at intervals, until `end_renewal`.

        The loop looks at its own end, as a cancellation alone may get lost: one that arrives while
        a call is ending by another error comes out of the call as that error.
        """
        number = self._renewals
        while number == self._renewals:
            try:
                await self._ask(place)
            except CALL_ERRORS as error:
                logger.debug("freshness-call-failed", keeper=place.address, error=repr(error))
            except Exception:
                # If this loop ended, the entry would never be current again.
                logger.exception("freshness-loop-failed", keeper=place.address)
            await asyncio.sleep(ASK_INTERVAL_SECONDS * self._random.uniform(0.9, 1.1))

    def end_renewal(self) -> None:
        """End the loop of `renew` that runs."""
        self._renewals += 1

    async def _ask(self, place: KeeperPlace) -> None:
        loads = self.list_loads()
        report = control_pb2.LoadReport(
            instance=self._settings.instance_id,
            loads=(control_pb2.Load(server=s, in_progress=n) for s, n in loads.items()),
        )
        stub = ControlStub(self._channels.get(place.address))
        asked_at = self._clock.monotonic()
        standing = await stub.ReportLoad(report, timeout=ANSWER_TIMEOUT_SECONDS)
        if not standing.HasField("majority_age_ms"):
            return
        self._sample()
        age = standing.majority_age_ms / 1000.0
        self._answered_by, self._keeper_age = place.address, age
        self._lease.record_answer(asked_at, age, Revision(standing.revision), self._view.revision())
        self._sample()

    async def sample(self) -> None:
        """Record the age at intervals until cancelled; log when it passes the bound or returns."""
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def _sample(self) -> None:
        was_late = self.ages.spell is not None
        self.ages.record(self._find_age(), self._answered_by, self._clock.monotonic())
        if self.ages.spell is not None and not was_late:
            logger.warning("configuration-late", **self._describe(self.ages.spell))
        ended = self.ages.pop_ended()
        if ended is not None:
            logger.warning("configuration-current", **self._describe(ended))

    def _describe(self, spell: LateSpell) -> dict[str, Any]:
        return {
            "seconds": round(self._clock.monotonic() - spell.began_at, 3),
            "oldest_age": round(bound_age(spell.oldest_age), 3),
            "told_by": spell.keeper,
            "revision": self._view.revision(),
            "attempts": self.ages.list_attempts(),
        }

    def _find_age(self) -> float:
        return self._lease.find_age(self._clock.monotonic())
