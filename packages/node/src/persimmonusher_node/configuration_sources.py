"""Chooses the instances that configuration is pulled from and announced to."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

from persimmonusher_model.rendezvous import rank

MAX_PARTNERS: Final = 12
"""Number of peers that one instance exchanges configuration with. Each costs a connection at both
ends, so in a fleet of thousands not every instance can talk to every other. A dozen random partners
still reach the whole fleet in a few hops."""

AVOID_SECONDS: Final = 5.0
"""A source that failed is avoided for this long, as long as there is another."""

KEEPER_PULL_FRACTION: Final = 0.2
"""Fraction of pulls that may go to keepers and seeds while there are partners. Otherwise thousands
of entries, each pulling once a second, would keep a keeper's event loop from its log."""

PARTNER_REFRESH_SECONDS: Final = 10.0
"""Interval at which partners are chosen anew; to rank thousands of addresses at each pull would
cost more."""


class ConfigurationSources:
    """Addresses of keepers, seeds and partners; those that failed lately are a last resort."""

    def __init__(
        self,
        own_address: str,
        first: Sequence[str],
        list_peers: Callable[[], Sequence[str]],
        random: Random,
    ) -> None:
        self._own = own_address
        self._keepers = tuple(dict.fromkeys(first))
        self._list_peers = list_peers
        self._random = random
        self._partners: tuple[str, ...] = ()
        self._refresh_at = float("-inf")
        self._avoid_until: dict[str, float] = {}

    @property
    def keepers(self) -> tuple[str, ...]:
        """Return the known addresses of keepers and seeds."""
        return self._keepers

    def learn_keepers(self, addresses: Sequence[str]) -> None:
        """Add addresses of keepers that a peer named."""
        self._keepers = tuple(dict.fromkeys((*self._keepers, *filter(None, addresses))))

    def list_partners(self, now: float) -> tuple[str, ...]:
        """Return the peers that rendezvous hashing gives this instance."""
        if now >= self._refresh_at:
            self._refresh_at = now + PARTNER_REFRESH_SECONDS
            peers = {address for address in self._list_peers() if address != self._own}
            self._partners = tuple(rank(peers, self._own)[:MAX_PARTNERS])
        return self._partners

    def choose(self, now: float) -> str | None:
        """Choose a source to pull from; return None if no other instance is known."""
        partners = self.list_partners(now)
        ask_partner = partners and self._random.random() >= KEEPER_PULL_FRACTION
        known = dict.fromkeys(partners if ask_partner else (*self._keepers, *partners))
        known.pop(self._own, None)
        available = [address for address in known if self._avoid_until.get(address, now) <= now]
        choices = available or list(known)
        return self._random.choice(choices) if choices else None

    def choose_partners(self, count: int, now: float) -> list[str]:
        """Choose at most `count` partners to notify of a new revision."""
        partners = self.list_partners(now) or [a for a in self._keepers if a != self._own]
        return self._random.sample(list(partners), min(count, len(partners)))

    def report(self, address: str, ok: bool, now: float) -> None:
        """Record whether a call to a source succeeded."""
        if ok:
            self._avoid_until.pop(address, None)
        else:
            self._avoid_until[address] = now + AVOID_SECONDS
