"""Ranks by cause what a simulated day lost, from the report that the users' bench writes.

A day's worth is a weighted sum of parts, each between 0 and 1, minus prices. What a part lacks is
attributed to causes: to unserved requests by how their last try ended, and the rest to late
answers. Losses in the worst windows and in the worst kind of request are listed under these names,
since the report doesn't say which causes fell into them.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from persimmonusher_model.errors import ErrorCode, UsherError

MIN_LISTED_LOSS: Final = 0.0005
"""Smaller losses aren't listed: half of the last digit that is printed."""
WHOLE_DAY: Final = "whole day"
SERVED_SHARE: Final = "nines"
LATE_ANSWERS: Final = "answers that came late"


@dataclass(frozen=True)
class Part:
    """One part of a day's worth: its weight, and what was earned of it, from 0 to 1."""

    name: str
    weight: float
    earned: float

    @property
    def lost(self) -> float:
        """Return the worth that this part lacks."""
        return self.weight * (1.0 - self.earned)


@dataclass(frozen=True)
class DayReport:
    """The parts of a report that are read."""

    worth: float
    parts: tuple[Part, ...]
    prices: tuple[tuple[str, float], ...]
    """Each price's name and worth."""
    request_count: int
    unserved: tuple[tuple[str, int], ...]
    """How last tries of unserved requests ended, with their number."""


@dataclass(frozen=True)
class Loss:
    """The worth lost to one cause."""

    cause: str
    worth: float


def read_report(path: Path) -> DayReport:
    """Read a report; raise UsherError if the file isn't one."""
    try:
        return parse_report(json.loads(path.read_bytes()))
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise UsherError(ErrorCode.BAD_VALUE, f"{path}: not a day's report: {error!r}") from error


def parse_report(document: dict[str, Any]) -> DayReport:
    """Return the report of a decoded document."""
    return DayReport(
        document["G"],
        tuple(Part(name, weight, earned) for name, weight, earned in document["parts"]),
        tuple((name, worth) for name, _, worth in document["prices"]),
        document["all"]["n"],
        tuple((item[0], item[1]) for item in document["unserved_by"]),
    )


def rank_losses(report: DayReport) -> tuple[Loss, ...]:
    """Return what the day lost by cause, the largest first."""
    losses: dict[str, float] = {}
    for loss in (*_list_part_losses(report), *_list_prices(report)):
        losses[loss.cause] = losses.get(loss.cause, 0.0) + loss.worth
    ranked = sorted(losses.items(), key=lambda item: -item[1])
    return tuple(Loss(cause, worth) for cause, worth in ranked if worth >= MIN_LISTED_LOSS)


def describe_losses(report: DayReport) -> list[str]:
    """Return the ranking as lines of a table."""
    lines = [f"worth {report.worth:.3f}, lost:"]
    lines += [f"  {loss.worth:.3f}  {loss.cause}" for loss in rank_losses(report)]
    return lines


def _list_part_losses(report: DayReport) -> Iterable[Loss]:
    number = sum(count for _, count in report.unserved)
    for part in report.parts:
        if part.name == WHOLE_DAY:
            yield from _split_whole_day(part, report)
        elif part.name == SERVED_SHARE and number:
            for cause, count in report.unserved:
                yield Loss(f"not served: {cause}", part.lost * count / number)
        else:
            yield Loss(part.name, part.lost)


def _split_whole_day(part: Part, report: DayReport) -> Iterable[Loss]:
    """Attribute what the day lacks to unserved requests by number, the rest to late answers."""
    left = part.lost
    for cause, count in report.unserved:
        lost = min(left, part.weight * count / max(1, report.request_count))
        left -= lost
        yield Loss(f"not served: {cause}", lost)
    yield Loss(LATE_ANSWERS, left)


def _list_prices(report: DayReport) -> Iterable[Loss]:
    return (Loss(f"price: {name}", worth) for name, worth in report.prices)
