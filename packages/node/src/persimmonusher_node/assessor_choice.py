"""Chooses the instances that assess a service, by rendezvous hashing: an assessor and a deputy."""

from collections.abc import Sequence
from typing import Final

from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.rendezvous import choose_spread
from persimmonusher_node.ports import Instance

ASSESSOR_ROLE: Final = "assessor"
ASSESSORS_PER_SERVICE: Final = 2


class AssessorChoice:
    """Caches each service's choice until the live instances change.

    Where at least two live instances have the assessor role, only those are candidates. The role is
    meant for large fleets: ranking 2,500 instances for each service at each change of membership
    would cost more than all other control work; ranking some fifty does not.
    """

    def __init__(self) -> None:
        self._live: Sequence[Instance] = ()
        self._candidates: dict[str, Instance] = {}
        self._chosen: dict[ServiceName, list[Instance]] = {}

    def find(self, service: ServiceName, live: Sequence[Instance]) -> list[Instance]:
        """Return the assessor and its deputy, in another failure domain if there is one."""
        if live is not self._live:
            self._replace_live(live)
        chosen = self._chosen.get(service)
        if chosen is None:
            domains = {name: str(one.failure_domain) for name, one in self._candidates.items()}
            names = choose_spread(domains, f"assessor-{service}", ASSESSORS_PER_SERVICE)
            chosen = [self._candidates[name] for name in names]
            self._chosen[service] = chosen
        return list(chosen)

    def _replace_live(self, live: Sequence[Instance]) -> None:
        self._live = live
        dedicated = [one for one in live if ASSESSOR_ROLE in one.roles]
        candidates = dedicated if len(dedicated) >= ASSESSORS_PER_SERVICE else live
        found = {str(one.instance_id): one for one in candidates}
        if found != self._candidates:
            self._candidates = found
            self._chosen.clear()
