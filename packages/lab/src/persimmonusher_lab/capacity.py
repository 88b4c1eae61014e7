"""What a fleet of the target size costs each role, computed from slopes measured in the same run.

`python -m persimmonusher_lab capacity` prints the slopes and the arithmetic as Markdown tables for
docs/CAPACITY.md. Assumptions that no measurement gives are constants here, each with its reason.
"""

import platform
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from persimmonusher_lab.slopes import Slope

INSTANCES: Final = 2_500
BACKEND_SERVERS: Final = 110_000
SERVICES: Final = 2_200
ROUTES: Final = 200_000
PEAK_REQUESTS_PER_SECOND: Final = 2_400_000
CHANGES_PER_DAY: Final = 47_000
RESTARTS_PER_DAY: Final = 15_400
DAY_SECONDS: Final = 86_400
ASSESSORS: Final = 52
"""Instances that only assess: 57 instances may be set aside, and the other five are keepers."""
KEYED_SHARE: Final = 0.05
"""Requests with a key at the peak: lookups outnumber entries and fees by far in both workloads."""
KEY_WINDOW_SECONDS: Final = 600.0
NOTIFIED_PEERS: Final = 3
"""Peers that an instance notifies of a new revision."""
ACTIVE_SERVICES_SHARE: Final = 0.2
"""Share of the services for which one entry has traffic in any second. With 960 requests/s over
2,200 services, a balancer that spreads evenly gives about 0.35, one that keeps callers together
less."""

CORE_LIMIT_PERCENT: Final = 4.9
MEMORY_LIMIT_MB: Final = 256.0
BYTES_PER_SECOND_LIMIT: Final = 8_000.0


@dataclass(frozen=True)
class Cost:
    """One role's cost at one instance, with the arithmetic that gives it."""

    role: str
    what: str
    value: float
    unit: str
    arithmetic: str


class Slopes:
    """Looks slopes up by name."""

    def __init__(self, slopes: Iterable[Slope]) -> None:
        self._values = {slope.name: slope.value for slope in slopes}

    def __getitem__(self, name: str) -> float:
        return self._values[name]


def measure_all() -> list[Slope]:
    """Measure every slope; requires `loop.install()` before."""
    from persimmonusher_lab.slopes_calls import measure_calls
    from persimmonusher_lab.slopes_claims import measure_claims
    from persimmonusher_lab.slopes_configuration import measure_configuration_slopes
    from persimmonusher_lab.slopes_evidence import measure_evidence
    from persimmonusher_lab.slopes_membership import measure_membership

    return [
        *measure_membership(),
        *measure_configuration_slopes(),
        *measure_claims(),
        *measure_evidence(),
        *measure_calls(),
    ]


def compute_memory(slopes: Slopes) -> list[Cost]:
    """Compute the memory that one entry needs for control, in MB."""

    def cost(role: str, slope: str, count: float, of: str) -> Cost:
        megabytes = slopes[slope] * count / 1e6
        return Cost(role, of, megabytes, "MB", f"{count:,.0f} x {slopes[slope]:,.0f} B")

    keyed = PEAK_REQUESTS_PER_SECOND * KEYED_SHARE / INSTANCES
    records = keyed * KEY_WINDOW_SECONDS * 5
    return [
        cost("configuration", "route at an entry", ROUTES, "routes"),
        cost("directory", "server in the directory", BACKEND_SERVERS, "backend servers"),
        cost("membership", "instance in membership", INSTANCES, "instances"),
        cost("entry", "service in use", SERVICES, "services in use"),
        cost(
            "entry", "server in a service's traffic", BACKEND_SERVERS, "servers of services in use"
        ),
        cost("claim register", "record at a register", records, "keys of ten minutes"),
    ]


def compute_processor(slopes: Slopes) -> list[Cost]:
    """Compute the processor time that one instance needs for control, in percent of a core."""
    call = slopes["gRPC call, both sides"]
    claim = slopes["claim on a link, both sides"]
    datagram = slopes["datagram sealed"] + slopes["datagram taken"]
    change_rate = CHANGES_PER_DAY / DAY_SECONDS
    keyed = PEAK_REQUESTS_PER_SECOND * KEYED_SHARE / INSTANCES
    active_services = SERVICES * ACTIVE_SERVICES_SHARE
    reports = INSTANCES * active_services / ASSESSORS

    def cost(role: str, what: str, microseconds: float, arithmetic: str) -> Cost:
        return Cost(role, what, microseconds / 1e4, "% of a core", arithmetic)

    churn = RESTARTS_PER_DAY / DAY_SECONDS * 2
    return [
        cost(
            "membership",
            "probes, gossip, ticks",
            (slopes["datagrams at rest"] + 4 * churn) * datagram + 10 * slopes["tick"],
            f"({slopes['datagrams at rest']:.1f} + 4 x {churn:.2f}) datagrams/s x {datagram:.0f} us"
            f" + 10 x {slopes['tick']:.0f} us",
        ),
        cost(
            "configuration",
            "hearing and pulling changes",
            change_rate * (NOTIFIED_PEERS + 1) * call,
            f"{change_rate:.2f} changes/s x {NOTIFIED_PEERS + 1} calls x {call:.0f} us",
        ),
        cost(
            "keeper",
            "deciding changes",
            change_rate * (slopes["change at a keeper"] + 4 * call),
            f"{change_rate:.2f} changes/s x ({slopes['change at a keeper']:.0f} + 4 x {call:.0f})"
            " us",
        ),
        cost(
            "entry",
            "digests and questions to assessors",
            active_services * call / 2,
            f"{active_services:.0f} services/s x {call / 2:.0f} us (client's half)",
        ),
        cost(
            "assessor (set aside)",
            "digests taken",
            reports * (call / 2 + slopes["digest at the assessor"]),
            f"{reports:,.0f} reports/s x ({call / 2:.0f} + {slopes['digest at the assessor']:.0f})"
            " us",
        ),
        cost(
            "assessor (set aside)",
            "verdicts",
            SERVICES / ASSESSORS * 10 * slopes["verdict"],
            f"{SERVICES / ASSESSORS:.0f} services x 10/s x {slopes['verdict']:.0f} us",
        ),
        cost(
            "claims",
            "keyed requests, as claimant and register",
            keyed * (slopes["claim round"] + 10 * claim),
            f"{keyed:.0f} keyed requests/s x ({slopes['claim round']:.0f} + 10 x {claim:.0f}) us",
        ),
    ]


def compute_bytes(slopes: Slopes) -> list[Cost]:
    """Compute the bytes per second that one instance sends for control."""
    change_rate = CHANGES_PER_DAY / DAY_SECONDS
    active_services = SERVICES * ACTIVE_SERVICES_SHARE
    servers = BACKEND_SERVERS / SERVICES
    digest = slopes["question message"] + servers * slopes["digest message for each server"]
    keyed = PEAK_REQUESTS_PER_SECOND * KEYED_SHARE / INSTANCES
    claim = slopes["claim message"] + slopes["vote message"] + slopes["settlement message"]
    churn = RESTARTS_PER_DAY / DAY_SECONDS * 2
    datagrams = slopes["datagrams at rest"] + 4 * churn
    roster = slopes["roster document for each member"] * INSTANCES * 2 / 900

    def cost(role: str, what: str, value: float, arithmetic: str) -> Cost:
        return Cost(role, what, value, "B/s", arithmetic)

    return [
        cost(
            "membership",
            "probes and gossip",
            datagrams * (slopes["datagram"] + 100),
            f"{datagrams:.1f} datagrams/s x ({slopes['datagram']:.0f} + 100) B",
        ),
        cost(
            "configuration",
            "changes",
            change_rate * (slopes["record message"] + NOTIFIED_PEERS * 100),
            f"{change_rate:.2f} changes/s x ({slopes['record message']:.0f} + {NOTIFIED_PEERS} x"
            " 100) B",
        ),
        cost("claims", "roster", roster, f"{INSTANCES} x 2 x 47 B in 900 s"),
        cost(
            "entry",
            "digests to assessors",
            active_services * digest,
            f"{active_services:.0f} services/s x {digest:.0f} B",
        ),
        cost(
            "claims",
            "keyed requests",
            keyed * 5 * claim,
            f"{keyed:.0f} keyed requests/s x 5 x {claim:.0f} B",
        ),
    ]


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print the slopes as a Markdown table."""
    print(f"CPython {platform.python_version()}, one core of {platform.machine()}\n")
    print("| slope | figure | unit | how |\n| --- | ---: | --- | --- |")
    for slope in slopes:
        print(f"| {slope.name} | {slope.value:,.1f} | {slope.unit} | {slope.how} |")


def print_costs(title: str, costs: Sequence[Cost], limit: float) -> None:
    """Print costs as a Markdown table with their sum against the limit."""
    unit = costs[0].unit
    print(f"\n### {title}\n\n| role | for | {unit} | arithmetic |\n| --- | --- | ---: | --- |")
    for cost in costs:
        print(f"| {cost.role} | {cost.what} | {cost.value:,.1f} | {cost.arithmetic} |")
    own = [cost for cost in costs if "set aside" not in cost.role]
    total = sum(cost.value for cost in own)
    verdict = "within" if total <= limit else "OVER"
    print(f"| **an entry in all** | | **{total:,.1f}** | limit {limit:,.1f}: {verdict} |")


def print_capacity() -> None:
    """Measure all slopes and print the whole arithmetic."""
    slopes = measure_all()
    print_slopes(slopes)
    found = Slopes(slopes)
    print_costs("Memory for control", compute_memory(found), MEMORY_LIMIT_MB)
    print_costs("Processor time for control", compute_processor(found), CORE_LIMIT_PERCENT)
    print_costs("Bytes sent for control", compute_bytes(found), BYTES_PER_SECOND_LIMIT)
