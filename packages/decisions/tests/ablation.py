"""Shows the effect of each mechanism: the same loads with one mechanism switched off at a time.

Run it by hand, `python ablation.py [SEEDS]`, with the packages on the path. It prints a table with
the share of requests that weren't served, the share answered within a second, and the smallest part
of the healthy servers that got requests in a window of 2 s: mean, smallest and largest over the
seeds. It isn't a test; test_suspicion and test_heavy_load assert the requirements.
"""

import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field, replace
from math import inf
from statistics import mean
from typing import Any
from unittest.mock import patch

from fleet_simulation import Load
from heavy_loads import LOOKUPS_AND_PURCHASES, PROFILE
from recorded_fleet import RecordedFleet

from persimmonusher_decisions import doubts, placement, suspicion, trials
from persimmonusher_decisions.evidence import EvidenceLog
from persimmonusher_decisions.notices import NoticeKind
from persimmonusher_decisions.traffic import ServiceTraffic

MIXED = replace(
    LOOKUPS_AND_PURCHASES,
    requests_a_second=285.0,
    fault_seconds=9.0,
    fault_chance=0.3,
    seconds=30.0,
)
ENTRIES = Load(requests_a_second=56.0, fault_seconds=9.0, fault_chance=0.3)
FILINGS = Load(
    instances=36,
    servers=9,
    slots=6,
    requests_a_second=36.0,
    work_seconds=0.5,
    fault_every=12.0,
    fault_seconds=12.0,
    fault_chance=0.3,
    fault_share=0.9,
)
LOADS = {
    "33 servers, mixed, busy": MIXED,
    "14 servers, entries": ENTRIES,
    "9 servers, filings": FILINGS,
    "9 servers, filings in bursts": replace(FILINGS, requests_a_second=50.0, burst_factor=1.7),
}


@dataclass(frozen=True)
class Ablation:
    """A mechanism, and the profile changes and patches that switch it off."""

    name: str
    profile: dict[str, Any] = field(default_factory=dict)
    patches: tuple[tuple[Any, str, Any], ...] = ()


def take_trusted(self: Any, servers: Any, now: float) -> Any:
    """Replace `_pick_unsuspected`: suspected servers that the floor keeps in use are included."""
    trusted = [track for track in servers if not track.is_avoided(now)]
    return self._random.sample(trusted, min(placement.COMPARED_SERVERS, len(trusted)))


def find_nothing(*arguments: Any) -> list[Any]:
    """Replace a method that returns a list, with an empty result."""
    return []


def ignore(*arguments: Any) -> None:
    """Replace a method without a result."""


ABLATIONS = (
    Ablation("all on"),
    Ablation("passing by", {"suspect_ms": 0}),
    Ablation("notices to others", patches=((ServiceTraffic, "apply_notice", ignore),)),
    Ablation(
        "doubt for late failures",
        patches=(
            (doubts, "NEEDED_REQUESTS", {**doubts.NEEDED_REQUESTS, NoticeKind.FAILED_LATE: 1}),
        ),
    ),
    Ablation("fewer trials of failing servers", patches=((suspicion, "MAX_WAIT_FACTOR", 1.0),)),
    Ablation("trials", patches=((trials.TrialSchedule, "choose", ignore),)),
    Ablation("relief of crowded servers", patches=((placement, "CROWDED_LOAD_PER_SLOT", inf),)),
    Ablation(
        "lookups prove servers", patches=((placement.Placement, "_find_suspect_to_try", ignore),)
    ),
    Ablation(
        "spared servers last", patches=((placement.Placement, "_pick_unsuspected", take_trusted),)
    ),
    Ablation("two compared", patches=((placement, "COMPARED_SERVERS", 16),)),
    Ablation("floor", {"health_floor_percent": 0}),
    Ablation("overdue requests", patches=((EvidenceLog, "collect_newly_overdue", find_nothing),)),
    Ablation("shared loads", patches=((ServiceTraffic, "apply_loads", ignore),)),
    Ablation("far servers weighed", {"far_load_percent": 0}),
    Ablation("penalty", patches=((placement.Placement, "penalize", ignore),)),
    Ablation("queue", {"queue_limit": 0}),
)


@contextmanager
def switch_off(ablation: Ablation) -> Iterator[None]:
    """Switch a mechanism off in this context."""
    with ExitStack() as stack:
        for target, name, value in ablation.patches:
            stack.enter_context(patch.object(target, name, value))
        yield


def play(job: tuple[Load, int, int]) -> tuple[float, float, float]:
    """Run one simulation; return the shares not served, answered in a second, and in use."""
    load, number, seed = job
    ablation = ABLATIONS[number]
    with switch_off(ablation):
        fleet = RecordedFleet(load, PROFILE.model_copy(update=ablation.profile), seed)
        served = fleet.run()
    return served.failed_share, served.find_share_within(1.0), min(fleet.find_shares_used())


def describe(values: list[float]) -> str:
    """Return the mean, the smallest and the largest value, in percent."""
    return f"{100 * mean(values):.1f} ({100 * min(values):.1f} to {100 * max(values):.1f})"


def print_table(seeds: int, write: Callable[[str], object] = print) -> None:
    """Run all loads without each mechanism and print the table."""
    with ProcessPoolExecutor(3) as pool:
        for title, load in LOADS.items():
            write(f"\n| {title}: off | not served, % | within 1 s, % | servers in use, % |")
            write("| --- | --- | --- | --- |")
            for number, ablation in enumerate(ABLATIONS):
                jobs = [(load, number, seed) for seed in range(seeds)]
                columns = zip(*pool.map(play, jobs), strict=True)
                cells = " | ".join(describe(list(column)) for column in columns)
                write(f"| {ablation.name} | {cells} |")


if __name__ == "__main__":
    print_table(int(sys.argv[1]) if len(sys.argv) > 1 else 6)
