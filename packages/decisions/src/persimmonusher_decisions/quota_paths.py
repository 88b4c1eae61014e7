"""An entry's way to the keepers that grant quota: directly, or through another entry.

A lost link is silent: calls on it get neither an answer nor an error. So every keeper and every
helping entry counts as lost after one call without an answer, and requests use it again only after
a check in the background has been answered.
"""

from collections.abc import Collection, Sequence
from math import inf
from random import Random
from typing import Final

DOUBT_SECONDS: Final = 0.15
"""Time without an answer after which other ways are preferred: more than a loan between keepers
takes, and a small part of the time after which a call is given up."""
PROOF_SECONDS: Final = 0.15
"""Age up to which an answer of a keeper shows that it can be reached."""
WANTED_HELPERS: Final = 3
"""Helpers that an entry uses in turn, so that the next one is known when one is lost. With one in
use at a time the busiest of nine helpers had 1.8 times the mean load, with three 1.2 times."""
MAX_HELPERS: Final = 4
MAX_PROBES_IN_FLIGHT: Final = 6
"""Entries that are asked at once, so that those that follow one keeper are soon all asked."""
PROBE_BURST: Final = 48.0
"""Entries that are asked without a pause: when a tenth of the fleet can help, it is under one
search in 100 that finds none of them."""
PROBES_PER_SECOND: Final = 8.0
"""The rate at which further ones are asked: each call takes processor time at both entries."""
REPROBE_SECONDS: Final = 1.0
"""Time for which an entry that could not help isn't asked again, unless another one names it."""
NAMED_REPROBE_SECONDS: Final = 0.3
"""The same for an entry that another one names."""
UNSUPPORTED_SECONDS: Final = 60.0
"""Time for which an entry of a version that can't help isn't asked again."""
MAX_FORWARDED_PER_SECOND: Final = 200.0
MAX_FORWARDED_IN_FLIGHT: Final = 16
"""A helper whose calls pile up has a slow processor or slow keepers. One call takes 2.7 ms of a
core, which is 6 ms where an entry has 0.43 of one, so that 16 of them take 0.1 s."""
FORWARDED_BURST_SECONDS: Final = 0.25
"""Calls of this time may come at once."""


class Contacts:
    """Which of several instances answer calls; all times are readings of the clock.

    >>> contacts = Contacts()
    >>> contacts.record_call("k1", 5.0)
    >>> contacts.list_usable(["k1", "k2"], 5.0 + 2 * DOUBT_SECONDS)
    ['k2']
    >>> contacts.record_answer("k1", 5.3)
    >>> contacts.list_usable(["k1", "k2"], 5.3)
    ['k1', 'k2']
    """

    def __init__(self) -> None:
        self._called_at: dict[str, float] = {}
        """When the first call was made that nothing has answered."""
        self._answered_at: dict[str, float] = {}
        self._lost: set[str] = set()

    def record_call(self, address: str, now: float) -> None:
        """Record that a call is made."""
        self._called_at.setdefault(address, now)

    def record_answer(self, address: str, now: float) -> None:
        """Record an answer, which ends every doubt."""
        self._called_at.pop(address, None)
        self._lost.discard(address)
        self._answered_at[address] = now

    def record_failure(self, address: str, called: float) -> None:
        """Record that a call made at `called` failed; a later answer to another call outweighs it.

        An instance that has answered since is slow with some calls, not out of reach.
        """
        if self._answered_at.get(address, -inf) < called:
            self._lost.add(address)

    def retain(self, addresses: Collection[str]) -> None:
        """Forget all other instances."""
        self._lost.intersection_update(addresses)
        for times in (self._called_at, self._answered_at):
            for address in times.keys() - set(addresses):
                del times[address]

    def list_usable(self, addresses: Sequence[str], now: float) -> list[str]:
        """List those that are neither lost nor in doubt, in the given order."""
        return [a for a in addresses if a not in self._lost and not self._is_doubted(a, now)]

    def list_doubted(self, addresses: Sequence[str], now: float) -> list[str]:
        """List those that are in doubt but not lost."""
        return [a for a in addresses if a not in self._lost and self._is_doubted(a, now)]

    def list_not_lost(self, addresses: Sequence[str]) -> list[str]:
        """List those that are not lost."""
        return [address for address in addresses if address not in self._lost]

    def list_unproven(self, addresses: Sequence[str], now: float) -> list[str]:
        """List those whose last answer is old, or that have not answered the latest calls."""
        since = now - PROOF_SECONDS
        return [
            address
            for address in addresses
            if address in self._lost
            or self._is_doubted(address, now)
            or self._answered_at.get(address, -inf) < since
        ]

    def has_lost(self, addresses: Sequence[str], now: float) -> bool:
        """Return whether any is lost or in doubt."""
        return any(a in self._lost or self._is_doubted(a, now) for a in addresses)

    def _is_doubted(self, address: str, now: float) -> bool:
        return now - self._called_at.get(address, now) > DOUBT_SECONDS


class HelperSearch:
    """Chooses which entries to ask for help, and keeps those that can."""

    def __init__(self, own_address: str, random: Random) -> None:
        self._own_address = own_address
        self._random = random
        self._contacts = Contacts()
        self._helpers: list[str] = []
        """Those that can help."""
        self._named: list[str] = []
        """Entries that others named as able to help, and that are still to be asked."""
        self._waiting: list[str] = []
        """The other entries that are still to be asked, in random order."""
        self._probed_at: dict[str, float] = {}
        self._unsupported_until: dict[str, float] = {}
        self._budget = PROBE_BURST
        self._budget_at = -inf

    @property
    def helpers(self) -> Sequence[str]:
        """Return the helpers in use."""
        return tuple(self._helpers)

    def find_helper(self, tried: Collection[str], now: float) -> str | None:
        """Return the helper to call for a request that was already sent through `tried`.

        It is one of them at random, so that the load of many entries spreads over all helpers.
        """
        usable = self._contacts.list_usable(self._helpers, now)
        self._random.shuffle(usable)
        return next((h for h in (*usable, *self._helpers) if h not in tried), None)

    def pick_hint(self) -> str:
        """Return one of the helpers, so that not all who ask use the same; empty without any."""
        return self._random.choice(self._helpers) if self._helpers else ""

    def has_enough(self) -> bool:
        """Return whether no more helpers need to be found."""
        return len(self._helpers) >= WANTED_HELPERS

    def begin(self, peers: Sequence[str], now: float) -> None:
        """Begin to ask the known entries, in random order."""
        self._waiting = [peer for peer in dict.fromkeys(peers) if peer != self._own_address]
        self._random.shuffle(self._waiting)
        for memory, kept in (
            (self._probed_at, now - REPROBE_SECONDS),
            (self._unsupported_until, now),
        ):
            for address in [a for a, at in memory.items() if at < kept]:
                del memory[address]

    def end(self) -> None:
        """Forget the helpers, because a keeper is reached again."""
        self._helpers, self._named, self._waiting = [], [], []
        self._contacts = Contacts()

    def next_probe(self, now: float) -> str | None:
        """Return the entry to ask now, or None if none is left or the rate is used up."""
        earned = PROBES_PER_SECOND * (now - self._budget_at) if self._budget_at > -inf else 0.0
        self._budget, self._budget_at = min(PROBE_BURST, self._budget + earned), now
        if self._budget < 1.0:
            return None
        address = self._pop_next(now)
        if address is not None:
            self._budget -= 1.0
            self._probed_at[address] = now
        return address

    def record_able(self, address: str, now: float) -> None:
        """Record that an entry answered that it can help."""
        self._contacts.record_answer(address, now)
        if address not in self._helpers and len(self._helpers) < MAX_HELPERS:
            self._helpers.append(address)

    def record_unable(self, address: str, hint: str) -> None:
        """Record that an entry can't help, and whom it named instead, if any."""
        if address in self._helpers:
            self._helpers.remove(address)
        if hint and hint != self._own_address and hint not in self._named:
            self._named.append(hint)

    def record_unsupported(self, address: str, now: float) -> None:
        """Record that an entry's version can't help."""
        self.record_unable(address, "")
        self._unsupported_until[address] = now + UNSUPPORTED_SECONDS

    def record_call(self, helper: str, now: float) -> None:
        """Record that a helper is called."""
        self._contacts.record_call(helper, now)

    def record_answer(self, helper: str, now: float) -> None:
        """Record that a helper answered."""
        self._contacts.record_answer(helper, now)

    def record_failure(self, helper: str, now: float) -> None:
        """Record that a call to a helper failed, so that it is asked again like any other entry."""
        self.record_unable(helper, "")
        self._probed_at[helper] = now

    def _pop_next(self, now: float) -> str | None:
        for queue, pause in (
            (self._named, NAMED_REPROBE_SECONDS),
            (self._waiting, REPROBE_SECONDS),
        ):
            while queue:
                address = queue.pop(0)
                if address not in self._helpers and self._may_probe(address, pause, now):
                    return address
        return None

    def _may_probe(self, address: str, pause: float, now: float) -> bool:
        is_due = now >= self._probed_at.get(address, -inf) + pause
        return is_due and now >= self._unsupported_until.get(address, -inf)


class ForwardLimit:
    """Limits the calls that an entry forwards for others, so that it can serve its own callers."""

    def __init__(self, now: float) -> None:
        self._most = MAX_FORWARDED_PER_SECOND * FORWARDED_BURST_SECONDS
        self._left = self._most
        self._refilled_at = now
        self._in_flight = 0

    def has_room(self, now: float) -> bool:
        """Return whether another entry should use this one: at most half of the limit is in use."""
        self._refill(now)
        is_idle = 2 * self._in_flight <= MAX_FORWARDED_IN_FLIGHT
        return is_idle and 2.0 * self._left >= self._most

    def try_acquire(self, now: float) -> bool:
        """Count a call that is forwarded now, until `release`; return False if it may not be."""
        self._refill(now)
        if self._left < 1.0 or self._in_flight >= MAX_FORWARDED_IN_FLIGHT:
            return False
        self._left -= 1.0
        self._in_flight += 1
        return True

    def release(self) -> None:
        """Record the end of a forwarded call."""
        self._in_flight -= 1

    def _refill(self, now: float) -> None:
        earned = MAX_FORWARDED_PER_SECOND * max(0.0, now - self._refilled_at)
        self._left = min(self._most, self._left + earned)
        self._refilled_at = now
