"""The daemon: one instance's listeners and components, started and ended in order."""

from collections.abc import Callable
from contextlib import ExitStack
from random import Random
from typing import Any

from structlog import get_logger

from persimmonusher_model.clock import Clock
from persimmonusher_node.announcements import AnnouncementsApplication
from persimmonusher_node.component import Component
from persimmonusher_node.data_plane import DataPlane
from persimmonusher_node.grpc_listener import GrpcListener
from persimmonusher_node.listener import HttpListener, ListenerLimits
from persimmonusher_node.metrics import MetricsApplication
from persimmonusher_node.observer import RequestObserver
from persimmonusher_node.parts import Parts
from persimmonusher_node.settings import Limits, Settings
from persimmonusher_node.shutdown import GracefulStop, StopSignal

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
        self._settings = settings
        self._directory = parts.directory
        self._clock = clock
        self.plane = DataPlane(settings, parts, observer, clock, random)
        more = parts.make_components(self.plane.services, self.plane.records)
        self._components: tuple[Component, ...] = (*parts.components, *more)

    def run(self, stop: StopSignal) -> bool:
        """Serve until the stop signal, then stop gracefully; return True if nothing was cut off.

        Components, membership among them, end only after the last request. Until then peers still
        reach this instance's register of claims, and count it among the entries that share the
        backend servers' connection limits.
        """
        settings = self._settings
        listen = settings.listen
        heartbeat = settings.heartbeat_timeout_seconds
        callers = HttpListener(
            listen.callers, self.plane.application, make_listener_limits(settings.limits)
        )
        self.plane.application.count_connections = lambda: callers.connections
        with ExitStack() as stack:
            self._start_grpc(stack)
            for component in (*self._components, self.plane.watch):
                stack.enter_context(component)
            announcements = AnnouncementsApplication(self._directory, heartbeat)
            start_http(stack, listen.announcements, announcements)
            start_http(stack, listen.metrics, MetricsApplication(self.plane.metrics))
            callers.start()
            _log.info("started", **listen.model_dump())
            signalled_at = stop.wait()
            forwarder = self.plane.forwarder
            return GracefulStop(settings, callers, forwarder, self._clock).run(signalled_at)

    def _start_grpc(self, stack: ExitStack) -> None:
        components = self._components
        peers = [handler for part in components for handler in part.list_peer_handlers()]
        operators = [handler for part in components for handler in part.list_operator_handlers()]
        names = {token: name for name, token in self._settings.operator_tokens.items()}
        listen = self._settings.listen
        listeners = (
            GrpcListener(listen.peers, peers, {self._settings.peer_token: "peer"}),
            GrpcListener(listen.operators, operators, names),
        )
        for listener in listeners:
            listener.start()
            stack.callback(listener.stop)


def make_listener_limits(limits: Limits) -> ListenerLimits:
    """Return the limits of the callers' listener from the settings."""
    return ListenerLimits(
        limits.connections,
        limits.idle_seconds,
        limits.head_seconds,
        limits.body_seconds,
        limits.write_seconds,
    )


def start_http(stack: ExitStack, address: str, application: Callable[..., Any]) -> None:
    """Serve an application on an address until the stack is closed."""
    listener = HttpListener(address, application)
    listener.start()
    stack.callback(listener.abort)
    stack.callback(listener.stop_accepting)
