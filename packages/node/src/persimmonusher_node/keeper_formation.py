"""How a keeper without a log becomes a member: it forms the first log, or asks to join one.

Only the keeper that is listed first in the settings may form the log, and only when every listed
keeper answers, holds no log, and names the same first keeper. So a single writer makes the first
members, and a fleet that has a log can't be formed again: a keeper that holds the log either
answers and reports it, or doesn't answer, and then nothing is formed. Every other keeper waits for
the leader's messages, or, if it isn't a member, asks to join as a learner.
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
    """The next step of a keeper without a log."""

    WAIT = "wait"
    FORM = "form"
    JOIN = "join"


@dataclass(frozen=True)
class Candidate:
    """A keeper that asks to become a member."""

    keeper: KeeperId
    address: str
    failure_domain: str = ""


@dataclass(frozen=True)
class Formation:
    """The next step, with the members of a log to form or the addresses to ask."""

    step: Step
    members: Members | None = None
    addresses: tuple[str, ...] = ()


class KeeperFormation(ABC):
    """The policy by which a keeper that isn't a member becomes one."""

    asks_again = False
    """Whether a keeper that was replaced as a member asks to join again, without an operator."""

    @abstractmethod
    def list_addresses(self) -> Sequence[str]:
        """List the peer addresses whose state the plan needs."""

    def note_candidate(self, candidate: Candidate, now: float) -> None:
        """Note a keeper that asked this one to join while this one held no log."""
        return

    @abstractmethod
    def plan(
        self, own: KeeperId, reports: Sequence[KeeperReport], known_revision: int, now: float
    ) -> Formation:
        """Decide on the next step from the reports of the listed addresses."""


class ListedFormation(KeeperFormation):
    """The first members are listed in the settings, which must be the same on each of them."""

    def __init__(self, keepers: Sequence[Keeper]) -> None:
        self._keepers = tuple(keepers)

    def list_addresses(self) -> Sequence[str]:
        """List the settings' keepers."""
        return tuple(keeper.address for keeper in self._keepers)

    def plan(
        self, own: KeeperId, reports: Sequence[KeeperReport], known_revision: int, now: float
    ) -> Formation:
        """Form the log once all listed keepers answer, or join the existing one."""
        return plan_formation(own, self._keepers, reports, known_revision)


def plan_formation(
    own: KeeperId,
    keepers: Sequence[Keeper],
    reports: Sequence[KeeperReport],
    known_revision: int,
) -> Formation:
    """Decide on the next step of a keeper that holds no log.

    `reports` are the states of the listed keepers, including this one. `known_revision` is the
    revision of the configuration at this instance.

    Guards against forming a new, empty log in place of a lost one: when all disks were wiped, the
    entries still have the configuration in force. A known revision above 0 shows that, and an
    operator has to decide.
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
