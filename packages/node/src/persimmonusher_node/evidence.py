"""The exchange of evidence and verdicts between this instance and the services' assessors.

Every instance reports each service that it has traffic for about once a second, and at once when
something fails. The service's assessor is the live instance that rendezvous hashing ranks first;
the second, in another failure domain, is its deputy and is asked when the first doesn't answer.
Verdicts are leases, so that those of an assessor that is cut off expire.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from grpclib._typing import IServable
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from persimmonusher_decisions.evidence_messages import EjectionSet, EvidenceDigest
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServiceName
from persimmonusher_node import evidence_wire as wire
from persimmonusher_node.assessor_choice import AssessorChoice
from persimmonusher_node.assessors import ASSESSMENT_INTERVAL_SECONDS, AssessorBook
from persimmonusher_node.component import Component
from persimmonusher_node.loop import run_coroutine, start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import ConfigurationView, Membership, ServerDirectory
from persimmonusher_node.services import LiveService, ServiceBook
from persimmonusher_protocol import evidence_pb2 as pb
from persimmonusher_protocol.evidence_grpc import EvidenceBase, EvidenceStub

REPORT_TICK_SECONDS: Final = 0.05
"""Interval at which each service is checked for a digest to report: a twentieth of the targeted
detection time."""
VERDICT_POLL_SECONDS: Final = 1.0
"""Interval at which an instance without evidence asks for the verdict: a third of a lease, so that
two requests may be lost before an ejection lapses."""
CALL_TIMEOUT_SECONDS: Final = 0.25
"""Time-out of a call to an assessor; after it the deputy is asked."""
ASSESSOR_AVOID_SECONDS: Final = 2.0
"""An assessor that didn't answer is asked after its deputy for this long; by then membership has
declared it dead, or it has recovered."""

_CALL_FAILURES: Final = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)


class EvidenceExchange(Component):
    """Reports this instance's evidence, applies verdicts and assesses services for others."""

    def __init__(
        self,
        instance_id: InstanceId,
        failure_domain: FailureDomain,
        epoch: int,
        services: ServiceBook,
        view: ConfigurationView,
        directory: ServerDirectory,
        membership: Membership,
        channels: ChannelPool,
        clock: Clock,
    ) -> None:
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._epoch = epoch
        self._services = services
        self._membership = membership
        self._channels = channels
        self._clock = clock
        self.assessors = AssessorBook(instance_id, epoch, view, directory, clock, self._send_hints)
        self._choice = AssessorChoice()
        self._last_asked: dict[ServiceName, float] = {}
        self._avoided: dict[InstanceId, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        services.set_opener(self.open_service)

    def list_peer_handlers(self) -> tuple[IServable, ...]:
        """List the evidence service."""
        return (_EvidenceService(self),)

    def start(self) -> None:
        """Begin to report and to assess."""
        self._spawn(self._run_reports())
        self._spawn(self._run_assessors())

    def stop(self) -> None:
        """Cancel all calls; the leases that other instances hold lapse."""
        for task in list(self._tasks):
            task.cancel()

    def open_service(self, live: LiveService) -> None:
        """Fetch the verdict on a service before its first request here; waits 0.5 s at most.

        While this instance had no traffic for the service it never asked, so it does not know that
        a request that crashes servers is quarantined, or that a gray server is ejected. Without
        this, a resend of that request through this instance would crash one more server. If neither
        the assessor nor its deputy answers, this instance starts with its own detection only.
        """
        self._last_asked[live.name] = self._clock.monotonic()
        run_coroutine(self._request_verdict(live, None))

    def answer(
        self,
        service: ServiceName,
        reporter: InstanceId,
        domain: FailureDomain,
        digest: EvidenceDigest | None,
    ) -> EjectionSet | None:
        """Process a report as the service's assessor; return the verdict, None where unknown."""
        return self.assessors.receive(service, reporter, domain, digest)

    def handle_hint(self, service: ServiceName) -> None:
        """Report at once, without waiting for the next tick, to get a changed verdict."""
        self._last_asked.pop(service, None)
        for live in self._services:
            if live.name == service:
                self._report(live, self._clock.monotonic())

    def list_assessors(self, service: ServiceName) -> tuple[InstanceId, ...]:
        """List the service's assessor and its deputy, in the order in which they are asked."""
        return tuple(name for name, _ in self._choose_assessors(service))

    async def _run_reports(self) -> None:
        while True:
            await asyncio.sleep(REPORT_TICK_SECONDS)
            now = self._clock.monotonic()
            for live in self._services:
                self._report(live, now)

    async def _run_assessors(self) -> None:
        while True:
            await asyncio.sleep(ASSESSMENT_INTERVAL_SECONDS)
            self.assessors.assess()

    def _report(self, live: LiveService, now: float) -> None:
        digest = live.traffic.digest(now)
        if (
            digest is None
            and now - self._last_asked.get(live.name, -VERDICT_POLL_SECONDS) < VERDICT_POLL_SECONDS
        ):
            return
        self._last_asked[live.name] = now
        self._spawn(self._request_verdict(live, digest))

    async def _request_verdict(self, live: LiveService, digest: EvidenceDigest | None) -> None:
        for assessor, address in self._choose_assessors(live.name):
            asked = self._clock.monotonic()
            if assessor == self._instance_id:
                own, domain = self._instance_id, self._failure_domain
                verdict = self.answer(live.name, own, domain, digest)
            else:
                verdict = await self._call(live.name, assessor, address, digest)
            if verdict is not None:
                live.traffic.apply_ejections(verdict, asked)
                return

    async def _call(
        self,
        service: ServiceName,
        assessor: InstanceId,
        address: str,
        digest: EvidenceDigest | None,
    ) -> EjectionSet | None:
        if digest is None:
            request = pb.ReportRequest(
                service=service,
                instance_id=self._instance_id,
                failure_domain=self._failure_domain,
            )
        else:
            request = wire.write_digest(digest)
        stub = EvidenceStub(self._channels.get(address))
        try:
            message = await stub.Report(request, timeout=CALL_TIMEOUT_SECONDS)
        except _CALL_FAILURES:
            self._avoided[assessor] = self._clock.monotonic() + ASSESSOR_AVOID_SECONDS
            return None
        return wire.read_set(message) if message.assessor_id else None

    def _choose_assessors(self, service: ServiceName) -> list[tuple[InstanceId, str]]:
        chosen = self._choice.find(service, self._membership.list_live())
        now = self._clock.monotonic()
        # An avoided assessor is put last, not removed: if both are avoided, both are still asked.
        chosen.sort(key=lambda one: self._avoided.get(one.instance_id, 0.0) > now)
        return [(one.instance_id, one.peer_address) for one in chosen]

    def _send_hints(self, service: ServiceName, reporters: tuple[InstanceId, ...]) -> None:
        addresses = {one.instance_id: one.peer_address for one in self._membership.list_live()}
        for reporter in reporters:
            if reporter == self._instance_id:
                self.handle_hint(service)
            elif reporter in addresses:
                self._spawn(self._send_hint(addresses[reporter], service))

    async def _send_hint(self, address: str, service: ServiceName) -> None:
        stub = EvidenceStub(self._channels.get(address))
        try:
            await stub.Hint(pb.ChangedHint(service=service), timeout=CALL_TIMEOUT_SECONDS)
        except _CALL_FAILURES:
            # The instance asks again within a second anyway.
            return

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        # The loop has only weak references to tasks: an unreferenced one may be collected early.
        task = start_coroutine(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _EvidenceService(EvidenceBase):
    """Serves reports and hints of peers."""

    def __init__(self, exchange: EvidenceExchange) -> None:
        self._exchange = exchange

    async def Report(self, stream: Stream[pb.ReportRequest, pb.EjectionSet]) -> None:  # noqa: N802
        """Answer a digest or a verdict request; an empty answer means an unknown service."""
        message = await stream.recv_message()
        assert message is not None
        digest = wire.read_digest(message) if message.sequence else None
        service = ServiceName(message.service)
        reporter = InstanceId(message.instance_id)
        domain = FailureDomain(message.failure_domain)
        verdict = self._exchange.answer(service, reporter, domain, digest)
        await stream.send_message(wire.write_set(verdict) if verdict else pb.EjectionSet())

    async def Hint(self, stream: Stream[pb.ChangedHint, pb.HintDone]) -> None:  # noqa: N802
        """Answer a hint that the verdict on a service has changed, and request that verdict."""
        message = await stream.recv_message()
        assert message is not None
        self._exchange.handle_hint(ServiceName(message.service))
        await stream.send_message(pb.HintDone())
