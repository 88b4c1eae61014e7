"""Suggestions for misspelt names."""

from collections.abc import Iterable
from difflib import get_close_matches

MIN_SIMILARITY = 0.6
"""Smallest similarity ratio (of `difflib`) for a suggestion: below it a hint would mislead."""


def find_nearest(name: str, known: Iterable[str]) -> str | None:
    """Return the known name most similar to `name`, or None if none is similar enough."""
    matches = get_close_matches(name, list(known), n=1, cutoff=MIN_SIMILARITY)
    return matches[0] if matches else None
