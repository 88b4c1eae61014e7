"""How a keeper with an empty disk finds its place: it forms the first log, or asks to join one.

Only the keeper that stands first in the settings of all may form the log, and only when every
keeper of the settings answers, holds no log, and names the same first keeper. So one writer makes
the first members, and a fleet that has a log can't be formed again: a keeper that holds it either
answers, and says so, or doesn't answer, and then nothing is formed. Everyone else waits to be
called by the leader, or, not being a member, asks to join as a learner.
"""

import secrets
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from persimmonusher_agreement.keeper_members import form_members
from persimmonusher_agreement.log_messages import KeeperId, Members, find_instance
from persimmonusher_node.keeper_calls import KeeperReport
from persimmonusher_node.settings import Keeper


class Step(Enum):
    """What a keeper without a log does next."""

    WAIT = "wait"
    FORM = "form"
    JOIN = "join"


@dataclass(frozen=True)
class Candidate:
    """A keeper without a log that asks for a place."""

    keeper: KeeperId
    address: str
    failure_domain: str = ""


@dataclass(frozen=True)
class Formation:
    """The next step, with the members to form or the addresses to ask."""

    step: Step
    members: Members | None = None
    addresses: tuple[str, ...] = ()


class KeeperFormation(ABC):
    """How a keeper without a place in a log finds one."""

    asks_again = False
    """Whether a keeper that lost its place, without a word of an operator, asks for it again."""

    @abstractmethod
    def list_addresses(self) -> Sequence[str]:
        """List the peer addresses whose state the plan needs."""

    def note_candidate(self, candidate: Candidate, now: float) -> None:
        """Take a keeper that asked this one, which holds no log, for a place."""
        return

    @abstractmethod
    def plan(
        self, own: KeeperId, reports: Sequence[KeeperReport], known_revision: int, now: float
    ) -> Formation:
        """Decide on the next step, from the state of the addresses listed."""


class ListedFormation(KeeperFormation):
    """The first keepers are listed in the settings, the same on each of them."""

    def __init__(self, keepers: Sequence[Keeper]) -> None:
        self._keepers = tuple(keepers)

    def list_addresses(self) -> Sequence[str]:
        """List the settings' keepers."""
        return tuple(keeper.address for keeper in self._keepers)

    def plan(
        self, own: KeeperId, reports: Sequence[KeeperReport], known_revision: int, now: float
    ) -> Formation:
        """Form the log once all listed keepers are there, or join the one that there is."""
        return plan_formation(own, self._keepers, reports, known_revision)


def plan_formation(
    own: KeeperId,
    keepers: Sequence[Keeper],
    reports: Sequence[KeeperReport],
    known_revision: int,
) -> Formation:
    """Decide on the next step of a keeper that holds no log.

    `reports` are the states of the settings' keepers, this one's included. `known_revision` is the
    configuration's revision at this instance.

    Guards against forming a new, empty fleet over a lost one: when all disks were wiped, the
    entries still have the configuration in force. Their revision above 0 shows it, and an operator
    has to decide.
    """
    formed = [report for report in reports if report.members.members]
    if formed:
        if any(report.members.find(own) is not None for report in formed):
            return Formation(Step.WAIT)
        addresses = {member.address for r in formed for member in r.members.members}
        return Formation(Step.JOIN, addresses=tuple(sorted(addresses)))
    answered = [report for report in reports if not report.failure and report.empty]
    is_first = keepers[0].instance_id == find_instance(own)
    if not is_first or known_revision or not _all_answered(keepers, answered):
        return Formation(Step.WAIT)
    identities = {report.keeper: report.address for report in answered}
    members = form_members(secrets.token_hex(8), identities)
    return Formation(Step.FORM, members=members)


def _all_answered(keepers: Sequence[Keeper], answered: Sequence[KeeperReport]) -> bool:
    expected = {keeper.instance_id for keeper in keepers}
    instances = {find_instance(report.keeper) for report in answered}
    same_first = all(report.first_keeper == keepers[0].instance_id for report in answered)
    return instances == expected and same_first
