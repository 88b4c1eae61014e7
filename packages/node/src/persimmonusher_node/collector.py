"""Settings of Python's garbage collector that keep its pauses from delaying requests."""

import gc
from typing import Final

GENERATION_THRESHOLDS: Final = (50_000, 20, 50)
"""Arguments of `gc.set_threshold`: allocations between collections of the youngest generation, then
collections between those of each older one."""


def rest_collector() -> None:
    """Disable collections until `calm_collector`; call it before the modules are loaded.

    Objects made by loading modules stay in use, so collections would free nothing. They would only
    lengthen the start, during which every caller of a killed instance loses its request.
    """
    gc.disable()


def calm_collector() -> None:
    """Exclude loaded modules from all collections, and collect seldom; call it once, at the start.

    Guards against full collections that walk all loaded modules while every request waits, every
    few seconds under load; this shows as a p99 latency that nothing on the path explains. Nearly
    all garbage of a request is freed by reference counts; the thresholds bound the cycles that
    wait for the collector.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GENERATION_THRESHOLDS)
