"""The roster: which entry instances hold the claims of which keys.

Registers must be the same for every instance that claims a key, so they are chosen from a roster
that the keepers commit, never from a membership view, which may differ between two instances. A
roster stays usable for hours without keepers.

A change of the roster must not allow two claims of one key to win with disjoint majorities. Three
rules ensure that:

1. A claim made under version v needs a majority of the key's registers of version v *and* of
   version v-1, so both claims under v and claims under v+1 need a majority of version v.
2. A register refuses claims under a version older than its own.
3. Version v+2 is proposed only once all but two members have applied v+1, and the longest key
   window has passed since. Then any majority of version v includes a register that refuses claims
   under v, and the earlier claims under v have expired.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

import xxhash

from persimmonusher_model.identifiers import FailureDomain, InstanceId
from persimmonusher_model.rendezvous import choose_spread

REGISTERS_PER_KEY: Final = 5
"""Two registers of a key may be lost, such as by a restart and a failure at the same moment."""
MAX_LAGGING_MEMBERS: Final = (REGISTERS_PER_KEY - 1) // 2
"""Members that may not have applied a version yet: any majority of 5 registers then still includes
one that has."""
CLAIM_SLOTS: Final = 1_024
"""All keys of a slot share its registers: ranking 2,500 members takes milliseconds, too long for
each request, and 1,024 cached choices still spread the keys evenly."""


@dataclass(frozen=True)
class Member:
    """An instance of the roster and the boot with which it joined.

    A register that runs with another boot has lost its records and must read them back.
    """

    instance_id: InstanceId
    failure_domain: FailureDomain
    boot: int


@dataclass(frozen=True)
class Roster:
    """One version of the roster together with the version before it."""

    version: int
    members: tuple[Member, ...]
    previous: tuple[Member, ...] = ()
    _sets: dict[int, tuple[frozenset[InstanceId], ...]] = field(
        default_factory=dict, compare=False, repr=False
    )

    def list_sets(self, key: str) -> tuple[frozenset[InstanceId], ...]:
        """Return the register sets for a key; a claim needs a majority of each one."""
        slot = xxhash.xxh3_64_intdigest(key.encode()) % CLAIM_SLOTS
        sets = self._sets.get(slot)
        if sets is None:
            versions = [self.members, self.previous] if self.previous else [self.members]
            sets = tuple(choose_registers(members, slot) for members in versions)
            self._sets[slot] = sets
        return sets

    def list_instances(self) -> frozenset[InstanceId]:
        """Return the members of this version and of the one before."""
        return frozenset(member.instance_id for member in (*self.members, *self.previous))

    def find_boot(self, instance: InstanceId) -> int | None:
        """Return the boot with which an instance joined, or None if it isn't a member."""
        for member in self.members:
            if member.instance_id == instance:
                return member.boot
        return None


def choose_registers(members: Sequence[Member], slot: int) -> frozenset[InstanceId]:
    """Choose the registers of a slot, spread over as many failure domains as possible."""
    domains = {str(member.instance_id): str(member.failure_domain) for member in members}
    chosen = choose_spread(domains, f"claims-{slot}", REGISTERS_PER_KEY)
    return frozenset(InstanceId(name) for name in chosen)


def count_majority(registers: int) -> int:
    """Return how many of so many registers are a majority."""
    return registers // 2 + 1


def has_majority(votes: frozenset[InstanceId], sets: Sequence[frozenset[InstanceId]]) -> bool:
    """Return whether the votes include a majority of each register set."""
    return bool(sets) and all(len(votes & group) >= count_majority(len(group)) for group in sets)


@dataclass(frozen=True)
class Observation:
    """A live instance and the roster version that it reports, as the keepers' leader sees it."""

    member: Member
    applied_version: int


class RosterPlanner:
    """Decides, at the keepers' leader, when the next version may be proposed.

    Its waits are in memory: a leader that was just elected starts them anew, which can only delay
    a version.
    """

    def __init__(self, founding_size: int, settle_seconds: float) -> None:
        self._founding_size = founding_size
        self._settle_seconds = settle_seconds
        self._candidate: frozenset[InstanceId] = frozenset()
        self._candidate_since = 0.0
        self._version = -1
        self._in_force_since: float | None = None

    def plan(
        self,
        roster: Roster | None,
        live: Sequence[Observation],
        longest_window: float,
        now: float,
    ) -> Roster | None:
        """Return the version to propose now, or None; call it about once a second."""
        names = frozenset(seen.member.instance_id for seen in live)
        if names != self._candidate:
            self._candidate = names
            self._candidate_since = now
        if now - self._candidate_since < self._settle_seconds:
            return None
        if roster is None:
            enough = len(live) >= self._founding_size
            return Roster(1, _list_members(live, ())) if enough else None
        if names == {member.instance_id for member in roster.members}:
            return None
        if not self._may_advance(roster, live, longest_window, now):
            return None
        return Roster(roster.version + 1, _list_members(live, roster.members), roster.members)

    def _may_advance(
        self, roster: Roster, live: Sequence[Observation], longest_window: float, now: float
    ) -> bool:
        if roster.version == 1:
            # No claim is older than the first version, so there is none that has to expire.
            return True
        if roster.version != self._version:
            self._version = roster.version
            self._in_force_since = None
        applied = {
            seen.member.instance_id for seen in live if seen.applied_version >= roster.version
        }
        lagging = [m for m in roster.members if m.instance_id not in applied]
        if len(lagging) > MAX_LAGGING_MEMBERS:
            self._in_force_since = None
            return False
        if self._in_force_since is None:
            self._in_force_since = now
        return now - self._in_force_since > longest_window


def _list_members(live: Sequence[Observation], known: tuple[Member, ...]) -> tuple[Member, ...]:
    """List the live members, each with the boot with which it first joined.

    A member that restarted keeps its first boot: with the new boot in the roster, a register that
    lost its records would count as complete.
    """
    first_boots = {member.instance_id: member for member in known}
    members = [first_boots.get(seen.member.instance_id, seen.member) for seen in live]
    return tuple(sorted(members, key=lambda member: member.instance_id))
