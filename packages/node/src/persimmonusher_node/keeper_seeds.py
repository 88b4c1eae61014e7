"""Formation of the keepers' log when only a few seed addresses are known.

Seeds are addresses without names, and don't show how many keepers there are. If the settings say
that the fleet starts for the first time, the first seed collects the keepers that ask it to join,
and forms the log with as many as the tolerated losses require. Every other keeper asks the seeds,
and later also the members that its log names, to admit it to the existing log.
"""

import secrets
from collections.abc import Sequence
from typing import Final

from persimmonusher_agreement.keeper_members import form_members
from persimmonusher_agreement.log_messages import KeeperId
from persimmonusher_node.keeper_calls import KeeperReport
from persimmonusher_node.keeper_formation import Candidate, Formation, KeeperFormation, Step

GATHER_TIMEOUT_SECONDS: Final = 3.0
"""Longest wait of the first seed for the wanted number of keepers, once all seeds answer. Machines
that start together answer within a second. A log with too few keepers needs all of them for an
acknowledgement."""
CANDIDATE_EXPIRY_SECONDS: Final = 2.0
"""A keeper that asks to join repeats it within a second; one that has stopped asking is gone."""


class SeededFormation(KeeperFormation):
    """The first members are the seeds and the keepers that ask the first seed, up to a number."""

    asks_again = True

    def __init__(
        self,
        seeds: Sequence[str],
        own_address: str,
        wanted: int,
        bootstrap: bool,
        own_domain: str = "",
    ) -> None:
        self._own_domain = own_domain
        self._seeds = tuple(seeds)
        self._own_address = own_address
        self._wanted = wanted
        self._bootstrap = bootstrap
        self._candidates: dict[KeeperId, tuple[Candidate, float]] = {}
        self._complete_since: float | None = None

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Set the seeds from reloaded settings."""
        self._seeds = tuple(seeds)

    def list_addresses(self) -> Sequence[str]:
        """List the seeds."""
        return self._seeds

    def note_candidate(self, candidate: Candidate, now: float) -> None:
        """Remember a keeper that asked to join."""
        self._candidates[candidate.keeper] = (candidate, now)

    def plan(
        self, own: KeeperId, reports: Sequence[KeeperReport], known_revision: int, now: float
    ) -> Formation:
        """Decide on the next step of a keeper that isn't a member.

        Guards against two logs: only the first seed forms one, only at the first start of the
        whole fleet, and only while every seed answers that it holds none. A keeper that lost its
        disk is started with settings that don't allow this, and asks to join instead.
        """
        formed = [report for report in reports if report.members.members]
        if formed:
            return self._plan_joining(own, formed)
        if not self._may_form(known_revision):
            return Formation(Step.JOIN, addresses=self._list_others())
        answered = [report for report in reports if not report.failure and report.empty]
        if len(answered) < len(self._seeds):
            self._complete_since = None
            return Formation(Step.WAIT)
        if self._complete_since is None:
            self._complete_since = now
        candidates = self._gather(own, answered, now)
        waited = now - self._complete_since
        if len(candidates) < self._wanted and waited < GATHER_TIMEOUT_SECONDS:
            return Formation(Step.WAIT)
        chosen = candidates[: self._wanted]
        addresses = {candidate.keeper: candidate.address for candidate in chosen}
        domains = {candidate.keeper: candidate.failure_domain for candidate in chosen}
        return Formation(Step.FORM, form_members(secrets.token_hex(8), addresses, domains))

    def _may_form(self, known_revision: int) -> bool:
        is_first = bool(self._seeds) and self._seeds[0] == self._own_address
        return self._bootstrap and is_first and not known_revision

    def _plan_joining(self, own: KeeperId, formed: Sequence[KeeperReport]) -> Formation:
        latest = max(formed, key=lambda report: (report.term, report.commit_index))
        if latest.members.find(own) is not None and latest.leader:
            return Formation(Step.WAIT)
        addresses = {member.address for report in formed for member in report.members.members}
        addresses.discard(self._own_address)
        return Formation(Step.JOIN, addresses=tuple(sorted(addresses)))

    def _list_others(self) -> tuple[str, ...]:
        return tuple(seed for seed in self._seeds if seed != self._own_address)

    def _gather(
        self, own: KeeperId, answered: Sequence[KeeperReport], now: float
    ) -> list[Candidate]:
        """List this keeper, the other seeds, and the keepers that still ask, in this order."""
        asking = {
            keeper: candidate
            for keeper, (candidate, at) in self._candidates.items()
            if now - at < CANDIDATE_EXPIRY_SECONDS
        }
        seeds = {report.keeper: Candidate(report.keeper, report.address) for report in answered}
        seeds[own] = Candidate(own, self._own_address, self._own_domain)
        first = sorted(seeds, key=lambda keeper: keeper != own)
        ordered = [*first, *sorted(set(asking) - set(seeds))]
        return [asking.get(keeper) or seeds[keeper] for keeper in ordered]
