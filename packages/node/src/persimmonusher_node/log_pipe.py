"""Writes log lines to standard output without ever waiting for their reader."""

import os
import sys
from typing import Final

from eventlet.patcher import original

MAX_LINE_BYTES: Final = 4_096
"""Longest line. The system writes this many bytes to a pipe completely or not at all, so a full
pipe never truncates a line."""


class LogPipe:
    """A file for structlog; lines that the pipe has no room for are dropped and counted.

    Guards against a reader that has stopped: a blocking write would then block the one thread that
    also answers callers. The count is written before the first line that finds room again.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        # The function as patched by eventlet would wait for room.
        self._write = original("os").write
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, which must end with a line break; never waits."""
        line = text.encode()
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - 2] + b"~\n"
        if self._dropped and self._write_line(self._describe_dropped()):
            self._dropped = 0
        if self._dropped or not self._write_line(line):
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def _describe_dropped(self) -> bytes:
        return b'{"event": "log-lines-dropped", "count": %d}\n' % self._dropped

    def _write_line(self, line: bytes) -> bool:
        try:
            self._write(self._descriptor, line)
        except OSError:
            # The pipe is full or its reader is gone; there is no other place to report it.
            return False
        return True


def open_standard_output() -> LogPipe:
    """Return a `LogPipe` on the process's standard output."""
    sys.stdout.flush()
    return LogPipe(sys.stdout.fileno())
