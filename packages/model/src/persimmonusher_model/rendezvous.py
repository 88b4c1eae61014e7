"""Rendezvous (highest random weight) hashing: members agree who serves a key without messages.

When a member leaves, only the keys that it served move. `choose_spread` also spreads the chosen
members over failure domains, so that losing one domain costs as few of a key's members as possible.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

WEIGHT_RANGE: Final = 2**64
"""Number of possible weights."""


def weigh(member: str, key: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{member}\x00{key}".encode())


def rank(members: Iterable[str], key: str) -> list[str]:
    """Return the members by decreasing weight for the key; ties are in order of name."""
    return sorted(members, key=lambda member: (-weigh(member, key), member))


def choose_spread(domains: Mapping[str, str], key: str, count: int) -> list[str]:
    """Choose up to `count` members for a key, over as many failure domains as there are.

    `domains` maps each member to its failure domain. Members are chosen in rank order, one from
    each domain in each round, until there are `count`.
    """
    best: dict[str, tuple[int, str]] = {}
    for member, domain in domains.items():
        # Sorts by decreasing weight, then by name, as in `rank`.
        place = (-weigh(member, key), member)
        if domain not in best or place < best[domain]:
            best[domain] = place
    if count > len(best):
        return _choose_in_turns(domains, key, count)
    return [member for _, member in sorted(best.values())[:count]]


def _choose_in_turns(domains: Mapping[str, str], key: str, count: int) -> list[str]:
    chosen: list[str] = []
    waiting = rank(domains, key)
    while waiting and len(chosen) < count:
        seen: set[str] = set()
        passed_over: list[str] = []
        for member in waiting:
            if domains[member] in seen or len(chosen) == count:
                passed_over.append(member)
                continue
            seen.add(domains[member])
            chosen.append(member)
        waiting = passed_over
    return chosen
