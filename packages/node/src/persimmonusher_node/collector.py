"""Python's garbage collector, set so that its pauses stay out of the requests' way."""

import gc
from typing import Final

THRESHOLDS: Final = (50_000, 20, 50)
"""Objects between collections of the youngest, and collections between those of the older ones."""


def rest_collector() -> None:
    """Collect nothing until `calm_collector`; call it before the modules are loaded.

    What loading makes stays, so that collections find nothing. They lengthen the start, in which
    every caller of a killed instance loses its request.
    """
    gc.disable()


def calm_collector() -> None:
    """Leave what is loaded out of all collections, and collect seldom; call it once, at the start.

    The failure it is for: a full collection walks all loaded modules, and every request waits
    meanwhile, every few seconds under load; it shows as a p99 that nothing on the path
    explains. Nearly all garbage of a request is freed by reference counts; what waits for the
    collector are cycles, which the thresholds bound.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*THRESHOLDS)
