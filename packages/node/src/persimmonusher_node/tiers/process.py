"""One process of the entry or keeper role."""

import signal
from pathlib import Path
from random import Random, SystemRandom
from typing import TYPE_CHECKING

from persimmonusher_model.clock import Clock
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.collector import configure_collector
from persimmonusher_node.logs import LoggingObserver, configure_logs
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.settings import Role, Settings
from persimmonusher_node.settings_file import load_settings
from persimmonusher_node.settings_watch import SettingsWatch
from persimmonusher_node.shutdown import StopSignal
from persimmonusher_node.tiers.edge import Edge

if TYPE_CHECKING:
    from persimmonusher_node.tiers.entry_daemon import EntryDaemon
    from persimmonusher_node.tiers.keeper_daemon import KeeperDaemon


def run_tier(path: Path, edge: Edge) -> bool:
    """Run with a settings file until a signal; return whether the stop cut nothing off."""
    # Before the settings watch handles SIGHUP, the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = load_settings(path)
    configure_logs(settings)
    clock = SystemClock()
    stop = StopSignal(clock)
    stop.install()
    with ChannelPool(settings.peer_token, clock=clock) as channels:
        daemon = make_daemon(settings, edge, channels, clock, SystemRandom())
        configure_collector()
        with SettingsWatch(path, settings, daemon.reload):
            return daemon.run(stop)


def make_daemon(
    settings: Settings, edge: Edge, channels: ChannelPool, clock: Clock, random: Random
) -> "KeeperDaemon | EntryDaemon":
    """Make the daemon of the settings' role.

    Only the modules of that role are imported, since each import delays an entry's first answer.
    """
    if settings.role is Role.KEEPER:
        from persimmonusher_node.tiers.keeper_daemon import KeeperDaemon

        return KeeperDaemon(settings, edge, channels, clock, random)
    from persimmonusher_node.tiers.entry_daemon import EntryDaemon

    observer = LoggingObserver(clock, settings.log_level)
    return EntryDaemon(settings, edge, channels, observer, clock, random)
