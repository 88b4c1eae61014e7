"""The evidence digests that one instance sends to a service's assessor."""

from collections.abc import Collection

from persimmonusher_decisions.evidence import DigestSchedule, pop_due_evidence
from persimmonusher_decisions.evidence_messages import EvidenceDigest
from persimmonusher_decisions.quarantine import Quarantine
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServiceName


class DigestMaker:
    """Makes the numbered digests of one service at one instance, each when it is due."""

    def __init__(
        self,
        service: ServiceName,
        instance_id: InstanceId,
        incarnation: int,
        failure_domain: FailureDomain,
    ) -> None:
        self._service = service
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._schedule = DigestSchedule()
        self._sequence = 0

    def make(
        self, tracks: Collection[ServerTrack], quarantine: Quarantine, now: float
    ) -> EvidenceDigest | None:
        """Return the unsent evidence, or None if there is none or no digest is due."""
        if not self._schedule.is_due(tracks, quarantine.has_pending_strikes, now):
            return None
        strikes = quarantine.pop_strikes(now)
        lines = pop_due_evidence(tracks, now)
        if not lines and not strikes:
            return None
        self._sequence += 1
        return EvidenceDigest(
            service=self._service,
            instance_id=self._instance_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            failure_domain=self._failure_domain,
            servers=lines,
            strikes=strikes,
        )
