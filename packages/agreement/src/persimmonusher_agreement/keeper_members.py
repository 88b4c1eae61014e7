"""The steps of a change of keepers; the leader proposes them one at a time.

A keeper that returns with an empty disk has a new id on the same instance. It is added as a
learner; once it has caught up, the lost id is removed, then the learner becomes a voter. Removing
first keeps the majority small: of three keepers, the two that are left never need the answer of the
new one.
"""

from collections.abc import Mapping, Set
from dataclasses import replace
from types import MappingProxyType
from typing import Final

from persimmonusher_agreement.log_messages import (
    KeeperId,
    Member,
    MemberRole,
    Members,
    find_instance,
)

NO_DOMAINS: Final[Mapping[KeeperId, str]] = MappingProxyType({})
NO_KEEPERS: Final[Set[KeeperId]] = frozenset()
SILENT_VOTER_SECONDS: Final = 3.0
"""A voter that doesn't answer for longer is replaced, once a learner has caught up. Longer than an
election and a restart, so that a keeper that merely restarts stays a voter."""


def form_members(
    lineage: str, keepers: dict[KeeperId, str], domains: Mapping[KeeperId, str] = NO_DOMAINS
) -> Members:
    """Return the first members of a new log, all voters, from the keepers' ids and addresses."""
    members = (
        Member(keeper, keepers[keeper], MemberRole.VOTER, failure_domain=domains.get(keeper, ""))
        for keeper in sorted(keepers)
    )
    return Members(lineage, tuple(members))


def add_learner(
    members: Members, keeper: KeeperId, address: str, promote: bool, domain: str = ""
) -> Members | None:
    """Add a keeper that asks to join as a learner, or return None if it is a member already.

    An earlier learner of the same instance is removed: its disk was lost. The new learner is to be
    promoted if it replaces a voter of the same instance, or a learner that was to be promoted.
    """
    if members.find(keeper) is not None:
        return None
    instance = find_instance(keeper)
    same = [member for member in members.members if find_instance(member.keeper) == instance]
    promote = promote or any(m.role is MemberRole.VOTER or m.promote for m in same)
    kept = [member for member in members.members if not _is_learner_of(member, instance)]
    learner = Member(keeper, address, MemberRole.LEARNER, promote, domain)
    return replace(members, members=(*kept, learner))


def _is_learner_of(member: Member, instance: str) -> bool:
    return member.role is MemberRole.LEARNER and find_instance(member.keeper) == instance


def remove_keeper(members: Members, keeper: KeeperId) -> Members | None:
    """Remove a keeper, or return None if it isn't a member or is the last voter."""
    kept = tuple(member for member in members.members if member.keeper != keeper)
    if len(kept) == len(members.members):
        return None
    if not any(member.role is MemberRole.VOTER for member in kept):
        return None
    return replace(members, members=kept)


def plan_promotion(
    members: Members,
    caught_up: Set[KeeperId],
    silent: Set[KeeperId] = NO_KEEPERS,
    wanted: int | None = None,
) -> Members | None:
    """Return the next step to promote a learner that has caught up, or None if there is none.

    `wanted` is the number of voters to have; None promotes every learner that asks. If there are
    that many voters, a learner replaces one that is silent, and otherwise waits.
    """
    for member in members.members:
        if member.role is MemberRole.LEARNER and member.promote and member.keeper in caught_up:
            step = _replace_lost(members, member) or _plan_place(members, member, silent, wanted)
            if step is not None:
                return step
    return None


def _plan_place(
    members: Members, learner: Member, silent: Set[KeeperId], wanted: int | None
) -> Members | None:
    """Return the step to make a learner a voter or to remove a silent voter for it, or None.

    Guards against losing voters without replacement: a voter that is slow, frozen or cut off is
    removed only when a learner has caught up, and one voter at a time.
    """
    voters = members.list_voters()
    if wanted is None or len(voters) < wanted:
        return _promote(members, learner)
    lost = next((voter for voter in voters if voter in silent), None)
    return None if lost is None else remove_keeper(members, lost)


def _replace_lost(members: Members, learner: Member) -> Members | None:
    for member in members.members:
        same = find_instance(member.keeper) == find_instance(learner.keeper)
        if same and member.role is MemberRole.VOTER:
            return remove_keeper(members, member.keeper)
    return None


def _promote(members: Members, learner: Member) -> Members:
    voter = replace(learner, role=MemberRole.VOTER, promote=False)
    kept = tuple(voter if member is learner else member for member in members.members)
    return replace(members, members=kept)
