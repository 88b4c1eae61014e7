"""Figures of one run and their spread over seeds."""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from statistics import median
from typing import Any, Final

from persimmonusher_decisions.work import AFTER_ATTEMPTS
from persimmonusher_lab.decisions_simulation import FAULT_AT, Simulation, Tally

QUIET_SECONDS: Final = 0.5
"""A server's work counts as fallen or stopped once that holds for this long."""
REDUCED_WORK_SHARE: Final = 0.1
PROMPT_REFUSAL_SECONDS: Final = 0.005


@dataclass(frozen=True)
class RunFigures:
    """What one run measured from the fault on. Times are in milliseconds, shares from 0 to 1."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    ok_share: float
    failed_share: float
    """Requests that ended in a failure, a timeout or a broken connection."""
    refused_share: float
    goodput: float
    """Requests answered successfully, as a share of the service's capacity."""
    amplification: float
    """Attempts per request that was placed on a server at least once."""
    prompt_refusals: float
    """Refusals answered within 5 ms of the request's arrival, as a share of all refusals."""
    refusal_p99_ms: float
    fairness: float
    """Jain's fairness index over the callers' served shares; 1 means equal shares."""
    lookups_served: float
    entries_served: float
    lowest_capacity: float
    false_ejections: float
    ill_work: float
    """Requests that the faulty servers received, as a share of their number before the fault."""
    share_fell_ms: float | None
    """Time until each faulty server received at most a tenth of its usual work for half a second.

    None if one of them never did.
    """
    detection_ms: float | None
    """Time until each faulty server received no work for half a second; None if one never did."""
    crashes: int


def find_quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of the values, 0 where there are none."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * share))] if ranked else 0.0


def measure(simulation: Simulation, tally: Tally) -> RunFigures:
    """Turn a finished run into figures."""
    offered = max(1, sum(tally.offered_by.values()))
    ended = max(1, sum(tally.outcomes.values()))
    good = tally.outcomes["ok"]
    refused = tally.outcomes["refused"]
    placed = offered - refused + sum(tally.refusals[reason.value] for reason in AFTER_ATTEMPTS)
    seconds = simulation.case.seconds - FAULT_AT
    waits = tally.refusal_waits
    faulty = simulation.servers[: simulation.case.faulty_count]
    received = [server.received for server in faulty]
    return RunFigures(
        p50_ms=1000 * find_quantile(tally.latencies, 0.5),
        p99_ms=1000 * find_quantile(tally.latencies, 0.99),
        p999_ms=1000 * find_quantile(tally.latencies, 0.999),
        ok_share=good / ended,
        failed_share=(ended - good - refused) / ended,
        refused_share=refused / ended,
        goodput=good / seconds / simulation.capacity,
        amplification=tally.attempts / max(1, placed),
        prompt_refusals=sum(wait <= PROMPT_REFUSAL_SECONDS for wait in waits) / max(1, len(waits)),
        refusal_p99_ms=1000 * find_quantile(waits, 0.99),
        fairness=_find_fairness(tally),
        lookups_served=_find_served_share(tally, "lookup"),
        entries_served=_find_served_share(tally, "entry"),
        lowest_capacity=tally.lowest_capacity,
        false_ejections=tally.false_ejections,
        ill_work=_find_faulty_server_work(received, seconds),
        share_fell_ms=_find_latest_drop(
            [_find_drop_ms(item, seconds, REDUCED_WORK_SHARE) for item in received]
        ),
        detection_ms=_find_latest_drop([_find_drop_ms(item, seconds, 0.0) for item in received]),
        crashes=sum(server.crashes for server in simulation.servers),
    )


def _find_fairness(tally: Tally) -> float:
    shares = [tally.served_by[name] / count for name, count in tally.offered_by.items()]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def _find_served_share(tally: Tally, name: str) -> float:
    return tally.served_classes[name] / max(1, tally.offered_classes[name])


def _find_rate_before(received: list[float]) -> float:
    start = FAULT_AT - 2.0
    return (bisect_left(received, FAULT_AT) - bisect_left(received, start)) / 2.0


def _find_faulty_server_work(received: list[list[float]], seconds: float) -> float:
    before = sum(_find_rate_before(item) for item in received) * seconds
    after = sum(len(item) - bisect_left(item, FAULT_AT) for item in received)
    return after / before if before else 0.0


def _find_drop_ms(received: list[float], seconds: float, share: float) -> float | None:
    max_count = share * QUIET_SECONDS * _find_rate_before(received)
    step = 0.01
    for index in range(int((seconds - QUIET_SECONDS) / step)):
        start = FAULT_AT + index * step
        count = bisect_left(received, start + QUIET_SECONDS) - bisect_left(received, start)
        if count <= max_count:
            return 1000 * index * step
    return None


def _find_latest_drop(drops: list[float | None]) -> float | None:
    found = [drop for drop in drops if drop is not None]
    return max(found) if found and len(found) == len(drops) else None


@dataclass(frozen=True)
class Spread:
    """The distribution of a figure over the seeds; `missing` counts the runs without a value."""

    p50: float
    p95: float
    worst: float
    least: float
    missing: int


def summarize(runs: Sequence[RunFigures]) -> dict[str, dict[str, Any]]:
    """Return each figure's spread over the runs, ready for JSON."""
    summary = {}
    for name in RunFigures.__dataclass_fields__:
        values = [getattr(run, name) for run in runs]
        found = [float(value) for value in values if value is not None]
        spread = Spread(
            p50=median(found) if found else 0.0,
            p95=find_quantile(found, 0.95),
            worst=max(found, default=0.0),
            least=min(found, default=0.0),
            missing=len(values) - len(found),
        )
        summary[name] = asdict(spread)
    return summary
