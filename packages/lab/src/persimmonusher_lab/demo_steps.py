"""The steps of the demo and the checks of their results."""

import itertools
import json
import os
import subprocess
import sys
import threading
import time
from collections.abc import Mapping, Sequence
from itertools import pairwise
from pathlib import Path
from signal import SIGTERM
from typing import Any, Final

from persimmonusher_lab import promises
from persimmonusher_lab.faults import Faults
from persimmonusher_lab.fleet import (
    CALLERS_PORT,
    OPERATOR_TOKEN,
    OPERATORS_PORT,
    Fleet,
    InstancePlan,
    wait_for,
)
from persimmonusher_lab.ledger import LedgerRecord
from persimmonusher_lab.load import REPLAYED_DETAIL, Caller, LoadOptions, Told, Try
from persimmonusher_lab.processes import LabProcess
from persimmonusher_lab.promises import PromiseResult
from persimmonusher_lab.watch import Observations, check_floor, check_no_revert
from persimmonusher_model.profile import PRESETS

PROFILES: Final = {"shows": "detection-first", "housing": "ejection-averse"}
FLOORS: Final = {
    service: PRESETS[preset].health_floor_percent for service, preset in PROFILES.items()
}
HOSTS: Final = {service: f"{service}.example" for service in PROFILES}
GRAY_SERVER: Final = "shows-2"
GRAY_FAULTS: Final = Faults(fail_percent=80)
DRAINED_SERVER: Final = "housing-3"
STOPPED_INSTANCE: Final = "i5"
SLOW_REQUESTS: Final = 4
SLOW_WORK_MS: Final = 1_500.0
"""Longer than the instance's `stop_delay_seconds`, so that a stop that doesn't wait for requests in
flight cuts the work off."""
START_TIMEOUT_SECONDS: Final = 15.0
IN_FORCE_LIMIT_SECONDS: Final = 8.0
DRAIN_LIMIT_SECONDS: Final = 3.0
DETECTION_LIMIT_SECONDS: Final = 3.0
CTL_TIMEOUT_SECONDS: Final = 30.0


def run_ctl(fleet: Fleet, *arguments: str) -> Any:
    """Run persimmonusherctl as an operator would and return its JSON.

    Raise RuntimeError if it fails.
    """
    running = [item for item in fleet.instances if fleet.processes[item.instance_id].is_running]
    addresses = ",".join(item.at(OPERATORS_PORT) for item in running)
    command = [sys.executable, "-m", "persimmonusher_ctl", "--json", "--addresses", addresses]
    done = subprocess.run(
        [*command, *arguments],
        env={**os.environ, "PERSIMMONUSHERCTL_TOKEN": OPERATOR_TOKEN},
        capture_output=True,
        text=True,
        timeout=CTL_TIMEOUT_SECONDS,
        check=False,
    )
    if done.returncode != 0:
        raise RuntimeError(f"{' '.join(arguments)}: exit {done.returncode}: {done.stderr}")
    return json.loads(done.stdout)


def configure(fleet: Fleet) -> list[PromiseResult]:
    """Create the profiles, services and routes once the keepers have a leader.

    The result checks that the revisions of the accepted changes rise.
    """
    wait_for(
        "a leading keeper", lambda: find_leader(fleet) or None, START_TIMEOUT_SECONDS, fleet.runner
    )
    wait_for("every instance", lambda: _count_instances(fleet) or None, START_TIMEOUT_SECONDS)
    answers = []
    for service, preset in PROFILES.items():
        route = f"{HOSTS[service]}/"
        answers += [
            run_ctl(fleet, "profiles", "create", service, "--preset", preset),
            run_ctl(fleet, "services", "put", service, "--profile", service),
            run_ctl(fleet, "routes", "put", route, "--service", service, "--wait", "10"),
        ]
    # The fleet's own change of the roster takes a revision too, so these needn't be consecutive.
    revisions = [answer["revision"] for answer in answers]
    held = all(later > earlier for earlier, later in pairwise(revisions))
    figure = ", ".join(str(revision) for revision in revisions)
    return [PromiseResult("accepted changes count up", held, f"revisions {figure}")]


def _count_instances(fleet: Fleet) -> bool:
    found = fleet.make_client(2.0).list_instances().instances
    return len(found) == len(fleet.instances) and all(item.answered for item in found)


def find_leader(fleet: Fleet) -> str:
    """Return the id of the leading keeper, or an empty string if there is none."""
    found = fleet.make_client(2.0).list_keepers().keepers
    return next((item.instance_id for item in found if item.role == "leader"), "")


def wait_for_servers(fleet: Fleet) -> None:
    """Wait until every instance lists every server as ready."""

    def all_known() -> bool | None:
        found = fleet.make_client(2.0).list_servers("").servers
        ready = [item for item in found if item.state == "ready"]
        views = min((len(item.views) for item in ready), default=0)
        return (len(ready) == len(fleet.servers) and views == len(fleet.instances)) or None

    wait_for("every server at every instance", all_known, START_TIMEOUT_SECONDS)


def wait_for_entries(fleet: Fleet, host: str) -> None:
    """Wait until an entry with a key is served, which needs the claim registers to be agreed on."""
    options = LoadOptions(tuple(fleet.list_caller_addresses()), host, 1.0, 1.0, seed=98)
    numbers = itertools.count(1)
    with Caller(options, fleet.folder / f"ready-{host}.jsonl") as caller:

        def is_served() -> bool | None:
            number = next(numbers)
            address = options.entries[number % len(options.entries)]
            outcome = caller.send(f"ready-{number}", True, address, 1, time.monotonic()).told
            return outcome is Told.RAN or None

        wait_for("a served entry", is_served, START_TIMEOUT_SECONDS, fleet.runner)


def start_loads(fleet: Fleet, seconds: float, rate: float) -> list[tuple[LabProcess, Path]]:
    """Start one load process for each service."""
    hosts = enumerate(HOSTS.values(), 1)
    return [fleet.start_load(number, host, seconds, rate) for number, host in hosts]


def turn_gray(fleet: Fleet) -> None:
    """Make one server fail most work while its health endpoint still reports it healthy."""
    fleet.set_faults(GRAY_SERVER, GRAY_FAULTS)


def drain(fleet: Fleet) -> None:
    """Let one server announce that it is draining, but go on serving work that still arrives."""
    fleet.set_faults(DRAINED_SERVER, Faults(drains_silently=True))
    fleet.set_state(DRAINED_SERVER, "draining")


def change_profile(fleet: Fleet) -> list[PromiseResult]:
    """Change a profile, wait until it is in force everywhere, and resend the change."""
    arguments = ["profiles", "change", "shows", "--set", "ramp_ms=5000"]
    arguments += ["--change-id", "demo-change-1"]
    based_on = run_ctl(fleet, "profiles", "list")["objects"]
    revision = next(item["revision"] for item in based_on if item["name"] == "shows")
    arguments += ["--based-on", str(revision)]
    started = time.monotonic()
    first = run_ctl(fleet, *arguments)
    accepted = time.monotonic()
    wait_for("the change in force", lambda: _is_in_force(fleet, first["revision"]) or None, 20.0)
    seconds = time.monotonic() - accepted
    again = run_ctl(fleet, *arguments)
    figure = f"{seconds:.2f} s after accepted (accepting took {accepted - started:.2f} s)"
    return [
        PromiseResult("in force everywhere", seconds <= IN_FORCE_LIMIT_SECONDS, figure),
        PromiseResult(
            "a resent change gets its first verdict",
            again["revision"] == first["revision"],
            f"revision {first['revision']}, then {again['revision']}",
        ),
    ]


def _is_in_force(fleet: Fleet, revision: int) -> bool:
    running = sum(fleet.processes[item.instance_id].is_running for item in fleet.instances)
    found = fleet.make_client(2.0).list_instances().instances
    ahead = [item for item in found if item.answered and item.revision >= revision]
    return len(ahead) == running


def resend_entry(fleet: Fleet, report: Path, killed: str) -> PromiseResult:
    """Send one entry, then resend it with its key through another instance."""
    callers = dict(
        zip(
            (item.instance_id for item in fleet.instances),
            fleet.list_caller_addresses(),
            strict=True,
        )
    )
    usable = [
        address for name, address in callers.items() if name not in (killed, STOPPED_INSTANCE)
    ]
    options = LoadOptions(tuple(usable), HOSTS["housing"], 1.0, 1.0, seed=99)
    with Caller(options, report) as caller:
        first = caller.send("resent-entry", True, usable[0], 1, time.monotonic())
        second = caller.send("resent-entry", True, usable[-1], 2, time.monotonic())
    held = first.told is Told.RAN and second.told is Told.RAN and first.server == second.server
    held = held and second.detail == REPLAYED_DETAIL
    figure = f"{first.told.value} by {first.server}, then {second.told.value} by {second.server}"
    figure += f" {second.detail}".rstrip()
    return PromiseResult("a resend gets the first run's answer", held, figure)


def stop_under_work(fleet: Fleet, report: Path) -> tuple[int | None, PromiseResult]:
    """Stop an instance by SIGTERM while it handles slow requests.

    Return its exit code, and a check that all of these requests were answered.
    """
    plan = find_plan(fleet, STOPPED_INSTANCE)
    options = LoadOptions(
        (plan.at(CALLERS_PORT),), HOSTS["housing"], 1.0, 1.0, work_ms=SLOW_WORK_MS, seed=97
    )
    outcomes: list[Told] = []
    with Caller(options, report) as caller:

        def send(number: int) -> None:
            started = time.monotonic()
            is_entry = bool(number % 2)
            address = options.entries[0]
            outcomes.append(caller.send(f"slow-{number}", is_entry, address, 1, started).told)

        threads = [threading.Thread(target=send, args=(number,)) for number in range(SLOW_REQUESTS)]
        for thread in threads:
            thread.start()
        time.sleep(SLOW_WORK_MS / 4000)
        process = fleet.processes[STOPPED_INSTANCE]
        process.send(SIGTERM)
        for thread in threads:
            thread.join()
        code = process.wait(20.0)
    ran = outcomes.count(Told.RAN)
    figure = f"{ran} of {SLOW_REQUESTS} slow requests in flight were answered"
    return code, PromiseResult("slow work outlives the stop", ran == SLOW_REQUESTS, figure)


def find_plan(fleet: Fleet, instance_id: str) -> InstancePlan:
    """Return the plan of the instance with this id."""
    return next(item for item in fleet.instances if item.instance_id == instance_id)


def check_all(
    tries: Sequence[Try],
    records: Sequence[LedgerRecord],
    seen: Observations,
    marks: Mapping[str, float],
) -> list[PromiseResult]:
    """Check the promises that concern the whole run."""
    return [
        promises.check_whole_answers(tries),
        promises.check_not_run(tries, records),
        promises.check_at_most_once(tries, records),
        promises.check_not_lost(tries, records),
        promises.check_drain(records, DRAINED_SERVER, marks["drain"], DRAIN_LIMIT_SECONDS),
        check_floor(seen),
        check_no_revert(seen),
        check_detection(records, marks["gray"]),
        check_shown_reason(seen, marks["gray"]),
        check_false_ejections(seen),
    ]


def check_detection(records: Sequence[LedgerRecord], gray_at: float) -> PromiseResult:
    """Check that the gray server stopped receiving work in time."""
    peers = sorted(
        {item.server for item in records if item.server.startswith("shows-")} - {GRAY_SERVER}
    )
    seconds = promises.find_detection_seconds(records, GRAY_SERVER, peers, gray_at)
    held = seconds is not None and seconds <= DETECTION_LIMIT_SECONDS
    figure = "never" if seconds is None else f"{seconds:.2f} s"
    return PromiseResult(
        "the gray server stops receiving work", held, f"{figure} (limit {DETECTION_LIMIT_SECONDS})"
    )


def check_shown_reason(seen: Observations, gray_at: float) -> PromiseResult:
    """Check that operators were shown the gray server's ejection with its reason."""
    shown = [item for item in seen.exclusions if item.server_id == GRAY_SERVER and item.reason]
    if not shown:
        return PromiseResult("operators see why the gray server gets no work", False, "never shown")
    figure = f"{shown[0].at - gray_at:.2f} s at {shown[0].instance_id}: {shown[0].reason}"
    return PromiseResult(
        "operators see why the gray server gets no work", shown[0].at > gray_at, figure
    )


def check_false_ejections(seen: Observations) -> PromiseResult:
    """Check that no instance withheld work from a healthy server."""
    false = [item for item in seen.exclusions if item.server_id != GRAY_SERVER]
    servers = sorted({f"{item.server_id} ({item.reason})" for item in false})
    figure = f"{len(servers)} servers {'; '.join(servers[:3])}".rstrip()
    return PromiseResult("no false ejection", not false, figure)


def check_stop(
    tries: Sequence[Try],
    records: Sequence[LedgerRecord],
    fleet: Fleet,
    marks: Mapping[str, float],
    exit_code: int | None,
) -> PromiseResult:
    """Check the graceful stop of one instance."""
    address = find_plan(fleet, STOPPED_INSTANCE).at(CALLERS_PORT)
    return promises.check_graceful_stop(tries, records, address, marks["stop"], exit_code)


def check_loads(loads: Sequence[tuple[LabProcess, Path]]) -> PromiseResult:
    """Check that the load processes themselves ended with exit code 0."""
    codes = [process.popen.poll() for process, _ in loads]
    return PromiseResult("the loads ran to their end", set(codes) == {0}, f"exit codes {codes}")
