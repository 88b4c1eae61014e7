"""Upper bounds on how stale the configuration is at a keeper and at an entry.

An age of some seconds means that every change acknowledged longer ago than that is applied here.

Each process measures from the moment at which it sent its message, by its own clock, and never from
the moment at which the reply arrived: time in transit, in a buffer or in a pause then makes a reply
older, not fresher. Clocks of two processes are never compared; only durations are sent.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from persimmonusher_agreement.log_messages import MajorityContact
from persimmonusher_model.identifiers import Revision

MAX_ANSWERS: Final = 256
"""Answers whose times are kept: far more than the answers that are in transit to a live leader."""
MAX_WAITING_GRANTS: Final = 16
"""Grants that may wait for their revision to be applied; while all are used, new ones are
dropped."""


class KeeperFreshness:
    """The freshness of a keeper that follows a leader.

    The leader's messages name the last of this keeper's answers that arrived, and the time from
    the leader's last contact with a majority to that arrival. The answer was sent before it
    arrived, so the contact can't be older than the time since the answer was sent plus that time.

    The numbers of answers begin at another value at each start of a keeper, so that a delayed
    message about an answer of the former process isn't mistaken for one about an answer of this
    process.
    """

    def __init__(self, first_answer: int) -> None:
        self.known_at = float("-inf")
        """Every change acknowledged before this reading of the own clock is applied here."""
        self._pending_known_at = float("-inf")
        self._last_answer = first_answer
        self._answered_at: dict[int, float] = {}
        """Reading of the own clock when each answer was made, by number."""

    def number_answer(self, reading: float) -> int:
        """Return the number for an answer that is made at this reading of the clock."""
        self._last_answer += 1
        self._answered_at[self._last_answer] = reading
        self._answered_at.pop(self._last_answer - MAX_ANSWERS, None)
        return self._last_answer

    def find_answer_age(self, answer: int | None, reading: float) -> float:
        """Return how long ago an answer was made, in seconds; 0 if that isn't known."""
        answered_at = None if answer is None else self._answered_at.get(answer)
        return 0.0 if answered_at is None else reading - answered_at

    def record_contact(self, contact: MajorityContact) -> None:
        """Record a contact from the leader's message; it counts from the next `mark_applied` on."""
        answered_at = self._answered_at.get(contact.answer)
        if answered_at is not None:
            self._pending_known_at = max(self._pending_known_at, answered_at - contact.lead)

    def mark_applied(self, known_at: float = float("-inf")) -> None:
        """Record that everything received is durable and applied.

        `known_at` is one more lower bound for the attribute: a leader's last majority contact.
        """
        self.known_at = max(self.known_at, self._pending_known_at, known_at)


@dataclass(frozen=True)
class Grant:
    """A keeper's statement that every change acknowledged before `known_at` is in `revision`."""

    known_at: float
    revision: Revision


class FreshnessLease:
    """The freshness of an entry, from the answers of the keeper that it follows.

    An answer counts once the keeper's revision is applied here too.

    >>> lease = FreshnessLease()
    >>> lease.record_answer(10.0, 0.5, Revision(7), held=Revision(6))
    >>> lease.find_age(11.0)
    inf
    >>> lease.record_revision(Revision(7))
    >>> lease.find_age(11.0)
    1.5
    """

    def __init__(self) -> None:
        self.known_at = float("-inf")
        """Every change acknowledged before this reading of the own clock is in force here."""
        self._grants: deque[Grant] = deque()

    def record_answer(
        self, asked_at: float, age: float, revision: Revision, held: Revision
    ) -> None:
        """Record a keeper's answer to a request that was sent at `asked_at`.

        `age` is the keeper's own staleness in seconds, `revision` its revision, and `held` the
        revision that is applied here.
        """
        known_at = asked_at - age
        if revision <= held:
            self.known_at = max(self.known_at, known_at)
        elif len(self._grants) < MAX_WAITING_GRANTS:
            self._grants.append(Grant(known_at, revision))

    def record_revision(self, revision: Revision) -> None:
        """Record that all changes up to a revision are in force here."""
        due = [grant for grant in self._grants if grant.revision <= revision]
        for grant in due:
            self.known_at = max(self.known_at, grant.known_at)
            self._grants.remove(grant)

    def find_age(self, now: float) -> float:
        """Return the age: all changes acknowledged longer ago, in seconds, are in force here."""
        return now - self.known_at
