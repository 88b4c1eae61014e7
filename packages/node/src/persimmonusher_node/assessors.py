"""The assessors that this instance runs: one for each service reported to it."""

from collections.abc import Callable
from typing import Final

from persimmonusher_decisions.assessor import Assessor
from persimmonusher_decisions.evidence_messages import EjectionSet, EvidenceDigest
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServiceName
from persimmonusher_model.profile import Profile
from persimmonusher_node.ports import ConfigurationView, ServerDirectory

ASSESSMENT_INTERVAL_SECONDS: Final = 0.1
"""Interval between verdicts; a shorter one only adds processor time, as evidence comes in slices
of this length."""
IDLE_TIMEOUT_SECONDS: Final = 60.0
"""An assessor that no instance has asked for this long is dropped: another instance assesses the
service by then, and all leases that this one gave have lapsed."""
REPORTER_RETENTION_SECONDS: Final = 10.0
"""Instances that reported within this time are notified of a changed verdict."""


class _ActiveAssessor:
    """An assessor with the inputs it was last given and its last verdict."""

    def __init__(self, assessor: Assessor, profile: Profile, now: float) -> None:
        self.assessor = assessor
        self.profile = profile
        self.servers_version = -1
        self.verdict = assessor.assess(now)
        self.last_asked = now
        self.reporters: dict[InstanceId, float] = {}


class AssessorBook:
    """Creates, updates, runs and drops assessors; calls `on_change` for each changed verdict."""

    def __init__(
        self,
        instance_id: InstanceId,
        epoch: int,
        view: ConfigurationView,
        directory: ServerDirectory,
        clock: Clock,
        on_change: Callable[[ServiceName, tuple[InstanceId, ...]], None],
    ) -> None:
        self._instance_id = instance_id
        self._epoch = epoch
        self._view = view
        self._directory = directory
        self._clock = clock
        self._on_change = on_change
        self._active: dict[ServiceName, _ActiveAssessor] = {}

    def receive(
        self,
        service: ServiceName,
        reporter: InstanceId,
        domain: FailureDomain,
        digest: EvidenceDigest | None,
    ) -> EjectionSet | None:
        """Process a report of evidence, or a request for the verdict where `digest` is None.

        Returns the service's verdict, or None for a service without a profile.
        """
        profile = self._view.find_profile(service)
        if profile is None:
            return None
        now = self._clock.monotonic()
        active = self._active.get(service)
        if active is None:
            assessor = Assessor(service, profile, self._instance_id, self._epoch)
            active = _ActiveAssessor(assessor, profile, now)
            self._active[service] = active
        self._update_inputs(service, active, profile, now)
        active.last_asked = now
        active.reporters[reporter] = now
        if active.assessor.add_domain(domain):
            active.verdict = active.assessor.assess(now)
        if digest is not None:
            active.assessor.receive(digest, now)
        return active.verdict

    def assess(self) -> None:
        """Renew every verdict, and drop the assessors that no instance asks any more."""
        now = self._clock.monotonic()
        for service, active in list(self._active.items()):
            profile = self._view.find_profile(service)
            if profile is None or now - active.last_asked > IDLE_TIMEOUT_SECONDS:
                del self._active[service]
                continue
            self._update_inputs(service, active, profile, now)
            before = active.verdict
            active.verdict = active.assessor.assess(now)
            if active.verdict.differs_from(before):
                self._on_change(service, self._list_reporters(active, now))

    def list_verdicts(self) -> tuple[EjectionSet, ...]:
        """List the verdicts of the services that this instance assesses, for operators."""
        return tuple(active.verdict for active in self._active.values())

    def _update_inputs(
        self, service: ServiceName, active: _ActiveAssessor, profile: Profile, now: float
    ) -> None:
        if profile is not active.profile:
            active.profile = profile
            active.assessor.replace_profile(profile)
        version = self._directory.version(service)
        if version != active.servers_version:
            active.servers_version = version
            active.assessor.replace_servers(self._directory.list_servers(service), now)

    def _list_reporters(self, active: _ActiveAssessor, now: float) -> tuple[InstanceId, ...]:
        recent = {
            name: reported
            for name, reported in active.reporters.items()
            if now - reported < REPORTER_RETENTION_SECONDS
        }
        active.reporters = recent
        return tuple(recent)
