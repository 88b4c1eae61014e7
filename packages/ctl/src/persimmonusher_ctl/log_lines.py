"""Reads the log lines of entries and keepers from collected log files."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, Final

from persimmonusher_model.errors import ErrorCode, UsherError

REQUEST_EVENT: Final = "request"


@dataclass(frozen=True)
class LogLine:
    """One log line; `fields` holds all of its fields, those of the attributes included."""

    at: datetime
    instance: str
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text, empty if it is missing or null."""
        value = self.fields.get(name)
        return "" if value is None else str(value)


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the log lines of the files in order; raise UsherError for a file that has none.

    A collector may prefix each line: what precedes the first brace is ignored. Lines in another
    format, such as those of other programs, are skipped.
    """
    for path in paths:
        has_lines = False
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = parse_line(text)
                    if line is not None:
                        has_lines = True
                        yield line
        except OSError as error:
            raise UsherError(ErrorCode.NOT_FOUND, f"{path}: {error.strerror}") from error
        if not has_lines:
            raise UsherError(ErrorCode.BAD_VALUE, f"{path}: holds no log lines of an instance")


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not in the format of an instance's log."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = json.loads(text[begin:])
        at = datetime.fromisoformat(fields["timestamp"])
        return LogLine(at, fields.get("instance", ""), fields["event"], fields)
    except (ValueError, KeyError, TypeError):
        return None
