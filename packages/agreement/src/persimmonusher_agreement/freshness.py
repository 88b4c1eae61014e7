"""Upper bounds on how stale the configuration is at a keeper and at an entry.

An age of some seconds says that every change acknowledged longer ago than that is applied here.

Each process measures from the moment at which it asked, by its own clock, and never from the moment
at which an answer arrived: time in transit, in a buffer or in a pause then makes an answer older,
not fresher. No two clocks are compared; only durations are sent.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from persimmonusher_agreement.log_messages import MajorityContact
from persimmonusher_model.identifiers import Revision

ANSWERS_KEPT: Final = 256
"""Answers whose times are kept: far more than a leader that still counts may be behind."""
GRANTS_KEPT: Final = 16
"""Answers that wait for their revision to arrive; further ones are left out until one is free."""


class KeeperFreshness:
    """The freshness of a keeper that follows a leader.

    The leader's messages name the last of this keeper's answers that arrived, and the time from
    the leader's last contact with a majority to that arrival. The answer was sent before it
    arrived, so the contact can't be older than the time since the answer was sent plus that time.

    Numbers of answers begin elsewhere at each start of a keeper, so that a delayed message about an
    answer of the former process isn't taken for one about an answer of this process.
    """

    def __init__(self, first_answer: int) -> None:
        self.known_at = float("-inf")
        """All that was acknowledged before this reading of the own clock is applied here."""
        self._pending = float("-inf")
        self._last = first_answer
        self._answered: dict[int, float] = {}
        """When each answer was made, by the readings of the own clock."""

    def number_answer(self, reading: float) -> int:
        """Return the number of an answer that is made now."""
        self._last += 1
        self._answered[self._last] = reading
        self._answered.pop(self._last - ANSWERS_KEPT, None)
        return self._last

    def take_contact(self, contact: MajorityContact) -> None:
        """Take what a leader says; it counts from the next `settle` on."""
        answered_at = self._answered.get(contact.answer)
        if answered_at is not None:
            self._pending = max(self._pending, answered_at - contact.lead)

    def settle(self, known_at: float = float("-inf")) -> None:
        """Take that everything received is durable and applied."""
        self.known_at = max(self.known_at, self._pending, known_at)


@dataclass(frozen=True)
class Grant:
    """A keeper's statement: nothing newer than `revision` was acknowledged before `known_at`."""

    known_at: float
    revision: Revision


class FreshnessLease:
    """The freshness of an entry, by the answers of the keeper that it follows.

    An answer counts once the revision that the keeper had is applied here too.

    >>> lease = FreshnessLease()
    >>> lease.grant(10.0, 0.5, Revision(7), held=Revision(6))
    >>> lease.find_age(11.0)
    inf
    >>> lease.hold(Revision(7))
    >>> lease.find_age(11.0)
    1.5
    """

    def __init__(self) -> None:
        self._known_at = float("-inf")
        self._grants: deque[Grant] = deque()

    def grant(self, asked_at: float, age: float, revision: Revision, held: Revision) -> None:
        """Take a keeper's answer to a question: its own age, in seconds, and its revision."""
        known_at = asked_at - age
        if revision <= held:
            self._known_at = max(self._known_at, known_at)
        elif len(self._grants) < GRANTS_KEPT:
            self._grants.append(Grant(known_at, revision))

    def hold(self, revision: Revision) -> None:
        """Take that all up to a revision is in force here."""
        due = [grant for grant in self._grants if grant.revision <= revision]
        for grant in due:
            self._known_at = max(self._known_at, grant.known_at)
            self._grants.remove(grant)

    def find_age(self, now: float) -> float:
        """Return the seconds since all that was acknowledged was surely in force here."""
        return now - self._known_at
