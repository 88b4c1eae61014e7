"""The process of one stand-in backend server: listener, announcements, orderly shutdown."""

import signal
from collections.abc import Sequence
from pathlib import Path
from random import Random

import eventlet
import eventlet.wsgi

from persimmonusher_decisions.server import ServerState
from persimmonusher_lab.announcer import Announcer
from persimmonusher_lab.backend_server import BackendOptions, StandIn
from persimmonusher_lab.ledger import Ledger


def run_backend(options: BackendOptions, announce_to: Sequence[str], ledger_path: Path) -> None:
    """Serve until SIGTERM, then announce `stopped` and return."""
    host, _, port = options.listen.rpartition(":")
    with Ledger(ledger_path) as ledger:
        stand_in = StandIn(options, ledger)
        announcer = Announcer(announce_to, Random(options.seed), stand_in.describe)
        listener = eventlet.listen((host, int(port)), backlog=1024, reuse_port=False)
        server = eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            stand_in,
            log_output=False,
            max_size=options.connection_limit,
            keepalive=True,
        )
        signal.signal(signal.SIGTERM, lambda *_: eventlet.kill(server))
        if announce_to:
            stand_in.on_state_change = lambda: eventlet.spawn(announcer.announce)
            eventlet.spawn(announcer.run, eventlet.sleep)
        try:
            server.wait()
        except eventlet.greenlet.GreenletExit:
            stand_in.state = ServerState.STOPPED
            if announce_to:
                announcer.announce()
