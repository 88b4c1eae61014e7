"""Slopes: what one more object, message or decision costs, measured on this machine.

Each slope is a plain figure with its unit. Times are the least of several batches, since other work
on the machine only ever adds; memory is what the interpreter allocates between two sizes.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

BATCHES: Final = 5
MICRO: Final = 1e6


@dataclass(frozen=True)
class Slope:
    """One measured figure."""

    name: str
    value: float
    unit: str
    how: str
    """What was measured, for the page's reader."""


def measure_time(act: Callable[[int], object], count: int) -> float:
    """Return the microseconds of processor time that one call of `act` takes."""
    best = float("inf")
    for batch in range(BATCHES):
        started = time.process_time()
        for number in range(count):
            act(batch * count + number)
        best = min(best, time.process_time() - started)
    return best / count * MICRO


def measure_bytes(build: Callable[[int], object], small: int, large: int) -> float:
    """Return the bytes held for each further object between two sizes."""
    return (_hold(build, large) - _hold(build, small)) / (large - small)


def _hold(build: Callable[[int], object], size: int) -> int:
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
