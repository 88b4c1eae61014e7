"""One service's assessor: pools the evidence of all entry instances and decides who is ejected."""

from collections.abc import Iterable
from typing import Final

from persimmonusher_decisions.evidence_messages import EjectionSet, EvidenceDigest
from persimmonusher_decisions.server import BackendServer
from persimmonusher_model.identifiers import InstanceId, ServiceName
from persimmonusher_model.profile import Profile

LEASE_SECONDS: Final = 3.0
"""Long enough for several renewals to be lost, short enough that a cut-off assessor's word ends
soon."""


class Assessor:
    """Decides for one service; any instance can hold one, the first in rendezvous order acts."""

    def __init__(
        self, service: ServiceName, profile: Profile, instance_id: InstanceId, epoch: int
    ) -> None:
        self._service = service
        self._profile = profile
        self._instance_id = instance_id
        self._epoch = epoch
        self._sequence = 0

    def replace_profile(self, profile: Profile) -> None:
        """Take a new profile; evidence is kept."""
        self._profile = profile

    def replace_servers(self, servers: Iterable[BackendServer], now: float) -> None:
        """Take the announced servers: the base of the floor, and whom to forget."""

    def receive(self, digest: EvidenceDigest, now: float) -> None:
        """Add one instance's evidence; a digest seen before is ignored."""

    def assess(self, now: float) -> EjectionSet:
        """Return the whole verdict as of now, as a lease."""
        self._sequence += 1
        return EjectionSet(
            service=self._service,
            assessor_id=self._instance_id,
            epoch=self._epoch,
            sequence=self._sequence,
            lease_seconds=LEASE_SECONDS,
            ejections=(),
            quarantines=(),
            watched=(),
            note="",
        )
