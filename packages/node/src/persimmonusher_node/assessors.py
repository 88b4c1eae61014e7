"""The assessors that this instance holds: one for each service it was given evidence of."""

from collections.abc import Callable
from typing import Final

from persimmonusher_decisions.assessor import Assessor
from persimmonusher_decisions.evidence_messages import EjectionSet, EvidenceDigest
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServiceName
from persimmonusher_model.profile import Profile
from persimmonusher_node.ports import ConfigurationView, ServerDirectory

ASSESS_SECONDS: Final = 0.1
"""Period of the verdicts; shorter only adds processor time, as evidence comes in slices of it."""
IDLE_SECONDS: Final = 60.0
"""An assessor that nobody asked for so long is dropped: another instance holds the service now,
and every lease that it gave has lapsed."""
REPORTER_SECONDS: Final = 10.0
"""Instances that reported this lately are told of a changed verdict."""


class _Held:
    """An assessor with the inputs it was last fed and its last verdict."""

    def __init__(self, assessor: Assessor, profile: Profile, now: float) -> None:
        self.assessor = assessor
        self.profile = profile
        self.servers_version = -1
        self.verdict = assessor.assess(now)
        self.asked = now
        self.reporters: dict[InstanceId, float] = {}


class AssessorBook:
    """Feeds, runs and drops assessors; `on_change` hears of each changed verdict."""

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
        self._held: dict[ServiceName, _Held] = {}

    def receive(
        self,
        service: ServiceName,
        reporter: InstanceId,
        domain: FailureDomain,
        digest: EvidenceDigest | None,
    ) -> EjectionSet | None:
        """Take an instance's evidence, or only its question; None for an unknown service."""
        profile = self._view.find_profile(service)
        if profile is None:
            return None
        now = self._clock.monotonic()
        held = self._held.get(service)
        if held is None:
            assessor = Assessor(service, profile, self._instance_id, self._epoch)
            held = _Held(assessor, profile, now)
            self._held[service] = held
        self._feed(service, held, profile, now)
        held.asked = now
        held.reporters[reporter] = now
        if held.assessor.add_domain(domain):
            held.verdict = held.assessor.assess(now)
        if digest is not None:
            held.assessor.receive(digest, now)
        return held.verdict

    def assess(self) -> None:
        """Renew every verdict, and drop the assessors that nobody asks any more."""
        now = self._clock.monotonic()
        for service, held in list(self._held.items()):
            profile = self._view.find_profile(service)
            if profile is None or now - held.asked > IDLE_SECONDS:
                del self._held[service]
                continue
            self._feed(service, held, profile, now)
            before = held.verdict
            held.verdict = held.assessor.assess(now)
            if held.verdict.tells_other_than(before):
                self._on_change(service, self._list_reporters(held, now))

    def list_verdicts(self) -> tuple[EjectionSet, ...]:
        """List the verdicts of the services that this instance assesses, for operators."""
        return tuple(held.verdict for held in self._held.values())

    def _feed(self, service: ServiceName, held: _Held, profile: Profile, now: float) -> None:
        if profile is not held.profile:
            held.profile = profile
            held.assessor.replace_profile(profile)
        version = self._directory.version(service)
        if version != held.servers_version:
            held.servers_version = version
            held.assessor.replace_servers(self._directory.list_servers(service), now)

    def _list_reporters(self, held: _Held, now: float) -> tuple[InstanceId, ...]:
        recent = {
            name: asked for name, asked in held.reporters.items() if now - asked < REPORTER_SECONDS
        }
        held.reporters = recent
        return tuple(recent)
