"""An entry's lease on its configuration, from the keepers' answers how fresh they are."""

import asyncio
from typing import Any, Final

import structlog

from persimmonusher_agreement.freshness import FreshnessLease
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.ages import bound_age
from persimmonusher_node.configuration_ages import ConfigurationAges, LateSpell
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.ports import Freshness
from persimmonusher_node.tiers.keeper_port import KeeperAnswer

logger = structlog.get_logger(__name__)

LATE_FRACTION: Final = 0.8
"""Part of `stale_seconds` beyond which the configuration is late: above the age without faults,
which is two heartbeats of the keepers and the time between two questions."""
SAMPLE_SECONDS: Final = 0.5
"""Interval of the samples of the age, which also come with each answer."""


class FollowLease:
    """Bounds the age of this entry's configuration by the answers of keepers."""

    def __init__(self, stale_seconds: float, view: ConfigurationClient, clock: Clock) -> None:
        self._stale_seconds = stale_seconds
        self._view = view
        self._clock = clock
        self._lease = FreshnessLease()
        self.ages = ConfigurationAges(stale_seconds)
        self._answered_by = ""
        self._keeper_age = 0.0

    @property
    def known_at(self) -> float:
        """Return a reading of the clock; all changes acknowledged before are in force here."""
        return self._lease.known_at

    def record_revision(self, revision: Revision) -> None:
        """Record that every change up to a revision is in force here."""
        self._lease.record_revision(revision)

    def record_answer(self, answer: KeeperAnswer) -> None:
        """Record a keeper's answer, whether it is followed or not."""
        self._sample()
        self._answered_by, self._keeper_age = answer.place.address, answer.age
        self._lease.record_answer(
            answer.asked_at, answer.age, answer.revision, self._view.revision()
        )
        self._sample()

    def is_current(self) -> bool:
        """Return whether no missing change can be in force elsewhere for over `stale_seconds`."""
        return self._find_age() <= self._stale_seconds

    def is_late(self) -> bool:
        """Return whether too little is left of the time in which a change is to be in force."""
        return self._find_age() > self._stale_seconds * LATE_FRACTION

    def find_freshness(self) -> Freshness:
        """Return how stale the configuration may be, and which keeper answered last."""
        return Freshness(self._find_age(), self._answered_by, self._keeper_age, self.is_late())

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
