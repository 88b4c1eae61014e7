"""Which instances the configuration is pulled from, and told to."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

from persimmonusher_model.rendezvous import rank

PARTNERS: Final = 12
"""Peers that one instance exchanges configuration with. Each costs a connection at both ends, so
that a fleet of thousands can't have every instance talk to every other; a dozen random partners
still reach the whole fleet in a few steps."""

AVOID_SECONDS: Final = 5.0
"""A source that failed is passed over for this long, while there is another."""

KEEPER_SHARE: Final = 0.2
"""Share of pulls that may go to keepers and seeds where there are partners. Thousands of entries
pulling once a second would otherwise take a keeper's loop from the log."""

REFRESH_SECONDS: Final = 10.0
"""Time between choices of partners; ranking thousands of names at each pull would cost more."""


class ConfigurationSources:
    """Addresses of keepers, seeds and partners, those that failed lately last."""

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
            self._refresh_at = now + REFRESH_SECONDS
            peers = {address for address in self._list_peers() if address != self._own}
            self._partners = tuple(rank(peers, self._own)[:PARTNERS])
        return self._partners

    def choose(self, now: float) -> str | None:
        """Choose a source to pull from, or None when there is no other instance."""
        partners = self.list_partners(now)
        ask_partner = partners and self._random.random() >= KEEPER_SHARE
        known = dict.fromkeys(partners if ask_partner else (*self._keepers, *partners))
        known.pop(self._own, None)
        well = [address for address in known if self._avoid_until.get(address, now) <= now]
        choices = well or list(known)
        return self._random.choice(choices) if choices else None

    def choose_partners(self, count: int, now: float) -> list[str]:
        """Choose partners to tell of a new revision."""
        partners = self.list_partners(now) or [a for a in self._keepers if a != self._own]
        return self._random.sample(list(partners), min(count, len(partners)))

    def report(self, address: str, ok: bool, now: float) -> None:
        """Take how a call to a source went."""
        if ok:
            self._avoid_until.pop(address, None)
        else:
            self._avoid_until[address] = now + AVOID_SECONDS
