"""The main job on real processes, once through: every promise shown, with its figure.

Six instances, three of them keepers; nine stand-in backend servers of two services under two
profiles; two loads. While the loads run, one server turns gray, one drains, the leading keeper is
killed, a profile changes, an entry is resent with its key, and one instance stops gracefully.
"""

import tempfile
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from signal import SIGKILL
from typing import Final

from persimmonusher_lab import demo_steps as steps
from persimmonusher_lab.demo_report import print_report
from persimmonusher_lab.fleet import (
    CALLERS_PORT,
    Fleet,
    choose_network,
    plan_instances,
    plan_servers,
)
from persimmonusher_lab.ledger import read_ledgers
from persimmonusher_lab.load import read_tries
from persimmonusher_lab.processes import ProcessRunner
from persimmonusher_lab.promises import PromiseResult
from persimmonusher_lab.trace_runs import write_marks
from persimmonusher_lab.watch import FleetWatch

INSTANCES: Final = 6
KEEPERS: Final = 3
SERVERS: Final = {"shows": 5, "housing": 4}
LOAD_SECONDS: Final = 26.0
LOAD_RATE: Final = 60.0
LOAD_END_SECONDS: Final = 15.0


@dataclass
class DemoRun:
    """What the demo did and saw, filled in as it goes."""

    fleet: Fleet
    reports: list[Path] = field(default_factory=list)
    marks: dict[str, float] = field(default_factory=dict)
    """When each step happened, CLOCK_MONOTONIC."""
    results: list[PromiseResult] = field(default_factory=list)
    exit_code: int | None = None
    """Of the instance that was stopped gracefully."""
    killed: str = ""


def run_demo(folder: Path | None = None) -> int:
    """Run the demo and return the exit code: 0 only when every promise held."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="persimmonusher-demo-") as scratch:
        work = folder or Path(scratch)
        work.mkdir(parents=True, exist_ok=True)
        try:
            results = _run(work)
        except Exception:
            traceback.print_exc()
            results = [PromiseResult("the demo runs to its end", False, "see the error above")]
    held = all(result.held for result in results)
    print(f"\n{'every promise held' if held else 'A PROMISE BROKE'}", end="")
    print(f" ({time.monotonic() - started:.1f} s)")
    return 0 if held else 1


def _run(folder: Path) -> list[PromiseResult]:
    network = choose_network()
    instances = plan_instances(network, INSTANCES, KEEPERS)
    servers = plan_servers(network, SERVERS)
    with ProcessRunner(folder) as runner:
        fleet = Fleet(runner, folder, instances, servers)
        run = DemoRun(fleet)
        try:
            _drive(run)
        finally:
            _print_crashes(run)
        return run.results


def _drive(run: DemoRun) -> None:
    fleet = run.fleet
    _step(run, "start", fleet.start_all)
    _step(run, "configure", lambda: run.results.extend(steps.configure(fleet)))
    _step(run, "servers known", lambda: steps.wait_for_servers(fleet))
    _step(run, "entries served", lambda: steps.wait_for_entries(fleet, steps.HOSTS["shows"]))
    with FleetWatch(fleet.make_client, steps.FLOORS) as watch:
        loads = steps.start_loads(fleet, LOAD_SECONDS, LOAD_RATE)
        run.reports.extend(report for _, report in loads)
        time.sleep(4.0)
        _step(run, "gray", lambda: steps.turn_gray(fleet))
        time.sleep(5.0)
        _step(run, "drain", lambda: steps.drain(fleet))
        time.sleep(2.0)
        _step(run, "kill", lambda: _kill_leader(run))
        _step(run, "change", lambda: run.results.extend(steps.change_profile(fleet)))
        _step(run, "resend", lambda: _resend(run))
        _step(run, "stop", lambda: _stop_instance(run))
        for load, _ in loads:
            load.wait(LOAD_SECONDS + LOAD_END_SECONDS)
    tries = read_tries(run.reports)
    records = read_ledgers(fleet.ledgers)
    run.results.extend(steps.check_all(tries, records, watch.observations, run.marks))
    run.results.append(steps.check_stop(tries, records, fleet, run.marks, run.exit_code))
    run.results.append(steps.check_loads(loads))
    print_report(tries, records, watch.observations, run.marks, run.results)


def _step(run: DemoRun, name: str, act: Callable[[], object]) -> None:
    run.marks[name] = time.monotonic()
    act()
    print(f"{name}: {time.monotonic() - run.marks[name]:.2f} s", flush=True)


def _kill_leader(run: DemoRun) -> None:
    run.killed = steps.find_leader(run.fleet)
    process = run.fleet.processes[run.killed]
    process.send(SIGKILL)
    process.wait(5.0)
    print(f"killed {run.killed}, the leading keeper")


def _resend(run: DemoRun) -> None:
    report = run.fleet.folder / "resend.jsonl"
    run.results.append(steps.resend_entry(run.fleet, report, run.killed))
    run.reports.append(report)


def _stop_instance(run: DemoRun) -> None:
    report = run.fleet.folder / "slow.jsonl"
    run.reports.append(report)
    run.exit_code, result = steps.stop_under_work(run.fleet, report)
    run.results.append(result)
    address = steps.find_plan(run.fleet, steps.STOPPED_INSTANCE).at(CALLERS_PORT)
    write_marks(run.fleet.folder, address, run.marks["stop"], run.exit_code)


def _print_crashes(run: DemoRun) -> None:
    expected = [run.fleet.processes[run.killed]] if run.killed else []
    for child in run.fleet.runner.list_crashed(expected):
        print(f"-- {child.name} ended with {child.popen.returncode}:\n{child.read_tail()}")
