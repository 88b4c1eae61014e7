"""The report that the demo prints at its end."""

from collections.abc import Mapping, Sequence
from typing import Final

from hdrh.histogram import HdrHistogram

from persimmonusher_ctl.output import format_table
from persimmonusher_lab.ledger import LedgerRecord, count_runs
from persimmonusher_lab.load import Told, Try
from persimmonusher_lab.promises import PromiseResult, count_final_outcomes, count_outcomes
from persimmonusher_lab.watch import Observations

MAX_LATENCY_US: Final = 60_000_000
PERCENTILES: Final = (50.0, 99.0, 99.9)


def print_report(
    tries: Sequence[Try],
    records: Sequence[LedgerRecord],
    seen: Observations,
    marks: Mapping[str, float],
    results: Sequence[PromiseResult],
) -> None:
    """Print the counts of outcomes, the latencies and the table of promises."""
    _print_outcomes("tries", count_outcomes(tries))
    _print_outcomes("pieces of work", count_final_outcomes(tries))
    print("\nlatency of whole answers, ms")
    for kind, is_entry in (("lookup", False), ("entry", True)):
        print(f"  {kind}: {describe_latency([t for t in tries if t.is_entry is is_entry])}")
    doubled = sum(count > 1 for count in count_runs(records).values())
    print(f"\nledgers: {len(records)} records; work begun more than once: {doubled} (lookups")
    print("may be retried); watch:", f"{seen.samples} samples, {seen.failed_samples} failed\n")
    rows = [["held" if item.held else "BROKE", item.promise, item.figure] for item in results]
    for line in format_table(["", "PROMISE", "FIGURE"], rows):
        print(line)


def _print_outcomes(title: str, counts: Mapping[str, Mapping[str, int]]) -> None:
    print(f"\n{title} by outcome")
    for kind, outcomes in counts.items():
        listed = ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items()))
        print(f"  {kind}: {listed or 'none'}")


def describe_latency(tries: Sequence[Try]) -> str:
    """Return the latency percentiles, in ms, of the tries whose outcome is `RAN`."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for item in tries:
        if item.told is Told.RAN:
            histogram.record_value(int((item.ended - item.started) * 1_000_000))
    if not histogram.get_total_count():
        return "none"
    values = (histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES)
    return ", ".join(
        f"p{percentile:g} {value:.1f}"
        for percentile, value in zip(PERCENTILES, values, strict=True)
    )
