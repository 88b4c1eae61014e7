"""The demo: the fleet's main work on real processes, with a check and a figure for every promise.

Six instances, three of them keepers; nine stand-in backend servers of two services under two
profiles; two loads. While the loads run, one server fails gray (most work fails, its health check
succeeds), one drains, the leading keeper is killed, a profile changes, an entry is resent with its
key, and one instance stops gracefully.
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

INSTANCE_COUNT: Final = 6
KEEPER_COUNT: Final = 3
SERVER_COUNTS: Final = {"shows": 5, "housing": 4}
LOAD_SECONDS: Final = 26.0
LOAD_REQUESTS_PER_SECOND: Final = 60.0
LOAD_GRACE_SECONDS: Final = 15.0


@dataclass
class DemoRun:
    """What the demo did and observed, filled in step by step."""

    fleet: Fleet
    reports: list[Path] = field(default_factory=list)
    marks: dict[str, float] = field(default_factory=dict)
    """When each step started, by CLOCK_MONOTONIC."""
    results: list[PromiseResult] = field(default_factory=list)
    exit_code: int | None = None
    """The exit code of the instance that was stopped gracefully."""
    killed: str = ""


def run_demo(folder: Path | None = None) -> int:
    """Run the demo and return the exit code: 0 only if every promise held."""
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
    instances = plan_instances(network, INSTANCE_COUNT, KEEPER_COUNT)
    servers = plan_servers(network, SERVER_COUNTS)
    with ProcessRunner(folder) as runner:
        fleet = Fleet(runner, folder, instances, servers)
        run = DemoRun(fleet)
        try:
            _run_steps(run)
        finally:
            _print_crashes(run)
        return run.results


def _run_steps(run: DemoRun) -> None:
    fleet = run.fleet
    _run_step(run, "start", fleet.start_all)
    _run_step(run, "configure", lambda: run.results.extend(steps.configure(fleet)))
    _run_step(run, "servers known", lambda: steps.wait_for_servers(fleet))
    _run_step(run, "entries served", lambda: steps.wait_for_entries(fleet, steps.HOSTS["shows"]))
    with FleetWatch(fleet.make_client, steps.FLOORS) as watch:
        loads = steps.start_loads(fleet, LOAD_SECONDS, LOAD_REQUESTS_PER_SECOND)
        run.reports.extend(report for _, report in loads)
        time.sleep(4.0)
        _run_step(run, "gray", lambda: steps.turn_gray(fleet))
        time.sleep(5.0)
        _run_step(run, "drain", lambda: steps.drain(fleet))
        time.sleep(2.0)
        _run_step(run, "kill", lambda: _kill_leader(run))
        _run_step(run, "change", lambda: run.results.extend(steps.change_profile(fleet)))
        _run_step(run, "resend", lambda: _resend(run))
        _run_step(run, "stop", lambda: _stop_instance(run))
        for load, _ in loads:
            load.wait(LOAD_SECONDS + LOAD_GRACE_SECONDS)
    tries = read_tries(run.reports)
    records = read_ledgers(fleet.ledgers)
    run.results.extend(steps.check_all(tries, records, watch.observations, run.marks))
    run.results.append(steps.check_stop(tries, records, fleet, run.marks, run.exit_code))
    run.results.append(steps.check_loads(loads))
    print_report(tries, records, watch.observations, run.marks, run.results)


def _run_step(run: DemoRun, name: str, action: Callable[[], object]) -> None:
    run.marks[name] = time.monotonic()
    action()
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
