"""One process of the daemon: the system's clock and randomness, logs, signals, and the parts."""

from random import SystemRandom

from persimmonusher_node.clock import SystemClock
from persimmonusher_node.daemon import Daemon
from persimmonusher_node.logs import LoggingObserver, configure_logs
from persimmonusher_node.parts import make_parts
from persimmonusher_node.settings import Settings
from persimmonusher_node.shutdown import StopSignal


def run_instance(settings: Settings) -> bool:
    """Run until a signal; tell whether the stop cut nothing off."""
    configure_logs(settings)
    clock = SystemClock()
    stop = StopSignal()
    stop.install()
    parts = make_parts(settings, clock)
    daemon = Daemon(settings, parts, LoggingObserver(), clock, SystemRandom())
    return daemon.run(stop)
