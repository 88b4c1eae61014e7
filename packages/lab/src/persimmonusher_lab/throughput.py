"""Requests per second on one core, and the latency added to that of the servers alone.

For fleets of 1, 3 and 6 instances, at several loads, in one run: first the client straight to the
stand-in servers, then the same load through the fleet. Processor time is that of the instances,
from the kernel, since other work on the machine distorts it less than latency.
"""

import json
import os
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

from persimmonusher_ctl.output import format_table
from persimmonusher_lab.demo_steps import configure, wait_for_entries, wait_for_servers
from persimmonusher_lab.fleet import Fleet, ServerPlan, choose_network, plan_instances
from persimmonusher_lab.processes import ProcessRunner
from persimmonusher_lab.throughput_client import ClientFigures, read_figures

FLEET_SIZES: Final = (1, 3, 6)
RATES: Final = (100.0, 300.0, 960.0, 0.0)
"""Requests per second; 0 is a closed loop, as many as the client's 32 connections get through."""
ENTRY_RATE: Final = 100.0
SERVERS: Final = 3
SLOTS: Final = 64
HOST: Final = "shows.example"
CLIENT_GRACE_SECONDS: Final = 30.0


@dataclass(frozen=True)
class Measurement:
    """The results of one load, sent directly or through a fleet of this many instances."""

    instances: int
    """0 for the servers answering directly."""
    kind: str
    offered: float
    figures: ClientFigures
    cpu_ms_per_request: float
    """Processor time of all instances for each request."""


def run_throughput(output: Path, seconds: float) -> None:
    """Measure everything once, print a table, and write JSON."""
    measurements: list[Measurement] = []
    for count in FLEET_SIZES:
        measurements.extend(measure_fleet(count, seconds, with_direct=count == FLEET_SIZES[0]))
    output.write_text(json.dumps([asdict(item) for item in measurements], indent=2) + "\n")
    for line in format_table(HEADER, list_rows(measurements)):
        print(line)


def measure_fleet(count: int, seconds: float, with_direct: bool) -> list[Measurement]:
    """Start a fleet of this many instances and measure it under each load."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        network = choose_network()
        servers = [
            ServerPlan(
                f"shows-{number}", "shows", f"{network}.{100 + number}:8100", "a", 1.0, SLOTS
            )
            for number in range(SERVERS)
        ]
        instances = plan_instances(network, count, min(count, 3))
        with ProcessRunner(folder) as runner:
            fleet = Fleet(runner, folder, instances, servers)
            fleet.start_all()
            configure(fleet)
            wait_for_servers(fleet)
            wait_for_entries(fleet, HOST)
            bench = Bench(fleet, seconds)
            idle = bench.measure_idle()
            print(f"{count} instances, idle: {100 * idle:.1f}% of a core each", flush=True)
            direct = bench.measure_all(0) if with_direct else []
            return [*direct, *bench.measure_all(count)]


class Bench:
    """Runs the client against one fleet."""

    def __init__(self, fleet: Fleet, seconds: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._runs = 0

    def measure_all(self, instances: int) -> list[Measurement]:
        """Measure each load, sent straight to the servers for 0 instances."""
        measured = [self.measure(instances, rate, False) for rate in RATES]
        return [*measured, self.measure(instances, ENTRY_RATE, True)]

    def measure_idle(self) -> float:
        """Return the processor time that one instance uses in a second without callers."""
        before = self._read_cpu_seconds()
        time.sleep(self._seconds)
        used = self._read_cpu_seconds() - before
        return used / self._seconds / len(self._fleet.instances)

    def measure(self, instances: int, rate: float, is_entry: bool) -> Measurement:
        """Measure one load."""
        self._runs += 1
        if instances:
            addresses = self._fleet.list_caller_addresses()
        else:
            addresses = [server.address for server in self._fleet.servers]
        report = self._fleet.folder / f"client-{self._runs}.json"
        arguments = ["measure-client", ",".join(addresses), HOST, "--report", str(report)]
        arguments += ["--seconds", str(self._seconds), "--rate", str(rate)]
        arguments += ["--name", f"m{self._runs}", *(["--entry"] if is_entry else [])]
        before = self._read_cpu_seconds()
        name = f"client-{self._runs}"
        client = self._fleet.runner.start(name, ["persimmonusher_lab", *arguments])
        if client.wait(self._seconds + CLIENT_GRACE_SECONDS) != 0:
            raise RuntimeError(f"the client failed: {client.read_tail()}")
        used = self._read_cpu_seconds() - before
        figures = read_figures(report)
        per_request = 1000 * used / max(1, figures.answered) if instances else 0.0
        kind = "entry" if is_entry else "lookup"
        return Measurement(instances, kind, rate, figures, per_request)

    def _read_cpu_seconds(self) -> float:
        pids = (self._fleet.processes[i.instance_id].popen.pid for i in self._fleet.instances)
        return sum(read_cpu_seconds(pid) for pid in pids)


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


HEADER: Final = (
    "INSTANCES",
    "KIND",
    "OFFERED/S",
    "ANSWERED/S",
    "P50 MS",
    "P99 MS",
    "ADDED P50",
    "ADDED P99",
    "CPU MS/REQUEST",
    "REQUESTS/S A CORE",
    "NOT 200",
)


def list_rows(measurements: Sequence[Measurement]) -> list[list[str]]:
    """Return the table's rows, with what each load adds over the direct one of the same run."""
    direct = {
        (item.kind, item.offered): item.figures for item in measurements if not item.instances
    }
    return [_make_row(item, direct[(item.kind, item.offered)]) for item in measurements]


def _make_row(item: Measurement, direct: ClientFigures) -> list[str]:
    figures = item.figures
    failed = sum(count for status, count in figures.statuses.items() if status != "200")
    cost = item.cpu_ms_per_request
    return [
        str(item.instances) if item.instances else "direct",
        item.kind,
        f"{item.offered:.0f}" if item.offered else "most",
        f"{figures.rate:.0f}",
        f"{figures.p50:.2f}",
        f"{figures.p99:.2f}",
        f"{figures.p50 - direct.p50:.2f}" if item.offered else "-",
        f"{figures.p99 - direct.p99:.2f}" if item.offered else "-",
        f"{cost:.2f}" if cost else "-",
        f"{1000 / cost:.0f}" if cost else "-",
        str(failed),
    ]
