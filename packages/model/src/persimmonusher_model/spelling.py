"""The nearest known name for a misspelt one."""

from collections.abc import Iterable
from difflib import get_close_matches

LIKENESS = 0.6
"""The least likeness worth a hint: below it the hint would mislead."""


def find_nearest(name: str, known: Iterable[str]) -> str | None:
    """Return the known name most like `name`, or None when none is near."""
    matches = get_close_matches(name, list(known), n=1, cutoff=LIKENESS)
    return matches[0] if matches else None
