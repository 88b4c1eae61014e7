"""Which change of keepers comes next, decided by the leader one step at a time.

A keeper that returns with an empty disk is another identity of the same instance. It is added as a
learner; once it has caught up, the lost identity is removed, then the learner becomes a voter.
Removing first keeps the majority small: the two that are left never need the newcomer's answer.
"""

from dataclasses import replace

from persimmonusher_agreement.log_messages import (
    KeeperId,
    Member,
    MemberRole,
    Members,
    find_instance,
)


def form_members(lineage: str, keepers: dict[KeeperId, str]) -> Members:
    """Make the first members of a new log, all voters, from identities and addresses."""
    members = (Member(keeper, keepers[keeper], MemberRole.VOTER) for keeper in sorted(keepers))
    return Members(lineage, tuple(members))


def add_learner(members: Members, keeper: KeeperId, address: str, promote: bool) -> Members | None:
    """Add a keeper that asks to join as a learner, or return None when it is a member already.

    An earlier learner of the same instance goes: its disk is the one that was lost. The learner is
    promoted when it stands in for a voter of the same instance, or for one that did.
    """
    if members.find(keeper) is not None:
        return None
    instance = find_instance(keeper)
    same = [member for member in members.members if find_instance(member.keeper) == instance]
    promote = promote or any(m.role is MemberRole.VOTER or m.promote for m in same)
    kept = [member for member in members.members if not _is_learner_of(member, instance)]
    learner = Member(keeper, address, MemberRole.LEARNER, promote)
    return replace(members, members=(*kept, learner))


def _is_learner_of(member: Member, instance: str) -> bool:
    return member.role is MemberRole.LEARNER and find_instance(member.keeper) == instance


def remove_keeper(members: Members, keeper: KeeperId) -> Members | None:
    """Remove one identity, or return None when it is no member or the last voter."""
    kept = tuple(member for member in members.members if member.keeper != keeper)
    if len(kept) == len(members.members):
        return None
    if not any(member.role is MemberRole.VOTER for member in kept):
        return None
    return replace(members, members=kept)


def plan_promotion(members: Members, caught_up: set[KeeperId]) -> Members | None:
    """Return the next step for learners that have caught up, or None when there is none."""
    for member in members.members:
        if member.role is MemberRole.LEARNER and member.promote and member.keeper in caught_up:
            return _replace_lost(members, member) or _promote(members, member)
    return None


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
