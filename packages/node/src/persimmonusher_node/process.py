"""Runs the daemon in one process: system clock and randomness, logs, signals, and the parts."""

from random import SystemRandom

from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.collector import configure_collector
from persimmonusher_node.daemon import Daemon
from persimmonusher_node.fleet import FleetParts
from persimmonusher_node.logs import LoggingObserver, configure_logs
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.settings import Role, Settings
from persimmonusher_node.shutdown import StopSignal


def run_instance(settings: Settings) -> bool:
    """Run one instance until a stop signal; return True if the stop cut nothing off."""
    if settings.role is not Role.COMBINED:
        message = f"role: {settings.role.value!r} runs behind an adapter, which has its own start"
        raise UsherError(ErrorCode.BAD_VALUE, message)
    configure_logs(settings)
    clock = SystemClock()
    stop = StopSignal(clock)
    stop.install()
    with ChannelPool(settings.peer_token) as channels:
        parts = FleetParts(settings, channels, clock).make()
        observer = LoggingObserver(clock, settings.log_level)
        daemon = Daemon(settings, parts, observer, clock, SystemRandom())
        configure_collector()
        return daemon.run(stop)
