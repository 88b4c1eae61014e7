"""Counts of the requests on routes with large bodies."""

from dataclasses import dataclass


@dataclass
class LargeBodyCounts:
    """Counts since the start."""

    sent_on: int = 0
    """Bodies of which only the first part was kept."""
    refused: int = 0
    """Requests that were refused because the memory was used up."""
    answers_unread: int = 0
    """Answers that were ended because their callers stopped reading."""
