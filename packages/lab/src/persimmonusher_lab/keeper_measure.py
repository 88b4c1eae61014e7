"""Measure keepers on real sockets and disks: processor time at rest and for each change.

`python -m persimmonusher_lab.keeper_measure` runs three keepers and some entries in one process, so
the processor time it prints is that of all of them together.
"""

from persimmonusher_node import loop

loop.install()

import json  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from contextlib import ExitStack, contextmanager  # noqa: E402
from pathlib import Path  # noqa: E402
from statistics import quantiles  # noqa: E402
from typing import Annotated, Final  # noqa: E402

import eventlet  # noqa: E402
import typer  # noqa: E402
from grpclib.server import Server  # noqa: E402

from persimmonusher_agreement.configuration_objects import (  # noqa: E402
    Accepted,
    Change,
    ObjectKey,
    ObjectKind,
)
from persimmonusher_model.identifiers import Revision  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.component import Component  # noqa: E402
from persimmonusher_node.configuration_client import ConfigurationClient  # noqa: E402
from persimmonusher_node.keeper import KeeperRole  # noqa: E402
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_node.settings import Keeper, Listeners, Settings  # noqa: E402

KEEPERS: Final = 3
FIRST_PORT: Final = 18_700
UNUSED_ADDRESS: Final = "127.0.0.1:1"


def make_settings(name: str, port: int, folder: Path) -> Settings:
    """Make the settings of one instance on loopback."""
    keepers = tuple(
        Keeper(instance_id=f"k{number}", address=f"127.0.0.1:{FIRST_PORT + number}")
        for number in range(KEEPERS)
    )
    listen = Listeners(
        callers=UNUSED_ADDRESS,
        announcements=UNUSED_ADDRESS,
        peers=f"127.0.0.1:{port}",
        operators=UNUSED_ADDRESS,
        metrics=UNUSED_ADDRESS,
    )
    return Settings(
        instance_id=name,
        failure_domain=name,
        listen=listen,
        keepers=keepers,
        data_folder=str(folder / name),
        peer_token="peers",
    )


@contextmanager
def run_instance(settings: Settings, peers: list[str]) -> Iterator[ConfigurationClient]:
    """Run the configuration client of one instance, and its keeper where it is one."""
    with ExitStack() as stack:
        channels = stack.enter_context(ChannelPool("peers"))
        clock = SystemClock()
        client = ConfigurationClient(settings, channels, clock, list_peers=lambda: peers)
        components: list[Component] = [client]
        if settings.is_keeper:
            components.append(KeeperRole(settings, channels, clock, client))
        server = Server([h for part in components for h in part.list_peer_handlers()])
        host, _, port = settings.listen.peers.partition(":")
        loop.run_coroutine(server.start(host, int(port)))
        stack.callback(server.close)
        for component in components:
            stack.enter_context(component)
        yield client


def make_change(number: int) -> Change:
    """Make a change that creates a profile."""
    key = ObjectKey(ObjectKind.PROFILE, f"profile-{number}")
    return Change(f"change-{number}", "operator", key, Revision(0), json.dumps({"ramp_ms": 1}))


def measure_changes(clients: list[ConfigurationClient], count: int, pause: float) -> None:
    """Make changes one after the other; print how soon they were accepted and in force."""
    accepted, in_force = [], []
    started, cpu_started = time.perf_counter(), time.process_time()
    for number in range(count):
        begun = time.perf_counter()
        verdict = loop.run_coroutine(clients[-1].propose(make_change(number)))
        accepted.append((time.perf_counter() - begun) * 1e3)
        assert isinstance(verdict, Accepted), verdict
        while min(client.revision() for client in clients) < verdict.revision:
            eventlet.sleep(0.001)
        in_force.append((time.perf_counter() - begun) * 1e3)
        eventlet.sleep(pause)
    used = time.process_time() - cpu_started
    print(
        f"{count} changes in {time.perf_counter() - started:.1f} s, {used:.2f} s of processor time"
    )
    for name, values in (("accepted", accepted), ("in force at all instances", in_force)):
        cuts = quantiles(values, n=100)
        print(f"{name} after ms: p50 {cuts[49]:.1f}, p99 {cuts[98]:.1f}, max {max(values):.1f}")


def measure_keepers(
    entries: Annotated[int, typer.Option(help="Entries besides the three keepers")] = 6,
    changes: Annotated[int, typer.Option(help="Changes to make")] = 300,
    rest: Annotated[float, typer.Option(help="Seconds at rest")] = 10.0,
    pause: Annotated[float, typer.Option(help="Seconds between changes")] = 0.0,
) -> None:
    """Print the processor time at rest and that of changes, and how soon these are in force."""
    names = [f"k{n}" for n in range(KEEPERS)] + [f"e{n}" for n in range(entries)]
    ports = {name: FIRST_PORT + number for number, name in enumerate(names)}
    peers = [f"127.0.0.1:{port}" for port in ports.values()]
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        clients = [
            stack.enter_context(run_instance(make_settings(n, port, Path(folder)), peers))
            for n, port in ports.items()
        ]
        first = make_change(-1)
        loop.run_coroutine(clients[-1].propose(first))
        cpu_started = time.process_time()
        eventlet.sleep(rest)
        share = (time.process_time() - cpu_started) / rest * 100
        print(f"{KEEPERS} keepers, {entries} entries at rest: {share:.1f}% of a core together")
        measure_changes(clients, changes, pause)


if __name__ == "__main__":
    typer.run(measure_keepers)
