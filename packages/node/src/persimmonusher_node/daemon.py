"""The daemon: composes the parts of one instance, runs them, and ends them in order."""

from contextlib import ExitStack
from dataclasses import replace
from random import Random

from structlog import get_logger

from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import FailureDomain, InstanceId, RequestId
from persimmonusher_node.announcements import AnnouncementsApplication
from persimmonusher_node.callers import CallersApplication
from persimmonusher_node.component import Component
from persimmonusher_node.entry import Entry
from persimmonusher_node.forwarding import Forwarder
from persimmonusher_node.grpc_listener import GrpcListener
from persimmonusher_node.keyed import KeyedForwarder
from persimmonusher_node.listener import HttpListener, ListenerLimits
from persimmonusher_node.observer import RequestObserver
from persimmonusher_node.parts import Parts
from persimmonusher_node.records import RecordRing, RequestRecord
from persimmonusher_node.services import ServiceBook
from persimmonusher_node.settings import Settings
from persimmonusher_node.shutdown import GracefulStop, StopSignal
from persimmonusher_node.upstream import Upstream
from persimmonusher_node.watch import Watch

_log = get_logger(__name__)


class Daemon:
    """One instance, from its listeners to its stop."""

    def __init__(
        self,
        settings: Settings,
        parts: Parts,
        observer: RequestObserver,
        clock: Clock,
        random: Random,
    ) -> None:
        self.settings = settings
        self.parts = parts
        self.records = RecordRing()
        domain = FailureDomain(settings.failure_domain)
        instance_id = InstanceId(settings.instance_id)
        self.services = ServiceBook(
            parts.view, parts.directory, parts.membership, instance_id, domain, clock, random
        )
        self.upstream = Upstream(clock, settings.limits.buffered_answer_bytes)
        self.forwarder = Forwarder(
            self.services, self.upstream, self.records, observer, clock, self.note_draining
        )
        keyed = KeyedForwarder(self.forwarder, parts.claims)
        entry = Entry(self.services, self.forwarder, keyed)
        self.application = CallersApplication(
            entry, instance_id, clock, settings.limits.body_seconds
        )
        self.watch = Watch(self.services, self.forwarder, self.upstream, clock)
        self._clock = clock
        more = parts.make_more(self.services, self.records)
        self._components: tuple[Component, ...] = (*parts.components, *more)

    def explain(self, request_id: RequestId) -> RequestRecord | None:
        """Return what this instance decided for a request lately, or None."""
        return self.records.explain(request_id)

    def note_draining(self, server: BackendServer) -> None:
        """Tell the directory that a server's answer said that it is leaving.

        The server is already left out here; its own announcement may be on its way by another
        entry, and carries the same or a later sequence number.
        """
        draining = replace(server, sequence=server.sequence + 1, state=ServerState.DRAINING)
        self.parts.directory.announce(draining)

    def run(self, stop: StopSignal) -> bool:
        """Serve until the stop signal, then stop gracefully; tell whether nothing was cut off."""
        limits = self.settings.limits
        listen = self.settings.listen
        callers = HttpListener(
            listen.callers,
            self.application,
            ListenerLimits(
                limits.connections,
                limits.idle_seconds,
                limits.head_seconds,
                limits.body_seconds,
                limits.write_seconds,
            ),
        )
        heartbeat = self.settings.heartbeat_timeout_seconds
        application = AnnouncementsApplication(self.parts.directory, heartbeat)
        announcements = HttpListener(listen.announcements, application)
        with ExitStack() as stack:
            self._start_grpc(stack)
            for component in (*self._components, self.watch):
                stack.enter_context(component)
            announcements.start()
            stack.callback(announcements.abort)
            stack.callback(announcements.stop_accepting)
            callers.start()
            _log.info("started", callers=listen.callers, announcements=listen.announcements)
            stop.wait()
            graceful = GracefulStop(
                self.settings, self.application, callers, self.forwarder, self._clock
            )
            return graceful.run()

    def _start_grpc(self, stack: ExitStack) -> None:
        components = self._components
        peers = [handler for part in components for handler in part.list_peer_handlers()]
        operators = [handler for part in components for handler in part.list_operator_handlers()]
        names = {token: name for name, token in self.settings.operator_tokens.items()}
        listeners = (
            GrpcListener(self.settings.listen.peers, peers, {self.settings.peer_token: "peer"}),
            GrpcListener(self.settings.listen.operators, operators, names),
        )
        for listener in listeners:
            listener.start()
            stack.callback(listener.stop)
