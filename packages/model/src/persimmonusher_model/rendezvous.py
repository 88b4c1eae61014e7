"""Rendezvous (highest random weight) hashing: who serves a key, agreed without messages.

When a member leaves, only the keys it served move. `choose_spread` also spreads the choice over
failure domains, so that losing one domain costs as few of a key's members as possible.
"""

from collections.abc import Iterable, Mapping

import xxhash


def weigh(member: str, key: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{member}\x00{key}".encode())


def rank(members: Iterable[str], key: str) -> list[str]:
    """Order members by falling weight for the key; ties end in name order."""
    return sorted(members, key=lambda member: (-weigh(member, key), member))


def choose_spread(domains: Mapping[str, str], key: str, count: int) -> list[str]:
    """Choose up to `count` members for a key, over as many failure domains as there are.

    `domains` maps each member to its failure domain. Members are taken in rank order, one from
    each domain in turn, until `count` are found.
    """
    best: dict[str, tuple[int, str]] = {}
    for member, domain in domains.items():
        # Sorted by falling weight, then by name, as in `rank`.
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
