"""Slopes: what one more object, message or decision costs, measured on this machine.

Each slope is a plain figure with its unit. Times are the minimum of several batches, since other
work on the machine can only add to them; memory is what the interpreter allocates between two
sizes.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

BATCHES: Final = 5
MICROSECONDS_PER_SECOND: Final = 1e6


@dataclass(frozen=True)
class Slope:
    """One measured figure."""

    name: str
    value: float
    unit: str
    how: str
    """What was measured, in words for the printed table."""


def measure_time(action: Callable[[int], object], count: int) -> float:
    """Return the microseconds of processor time that one call of `action` takes."""
    best = float("inf")
    for batch in range(BATCHES):
        started = time.process_time()
        for number in range(count):
            action(batch * count + number)
        best = min(best, time.process_time() - started)
    return best / count * MICROSECONDS_PER_SECOND


def measure_bytes(build: Callable[[int], object], small: int, large: int) -> float:
    """Return the bytes held for each further object between two sizes."""
    return (_measure_held_bytes(build, large) - _measure_held_bytes(build, small)) / (large - small)


def _measure_held_bytes(build: Callable[[int], object], size: int) -> int:
    build(1)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = build(size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return after - before
