"""Log lines on standard output, without ever waiting for whoever reads them."""

import os
import sys
from typing import Final

from eventlet.patcher import original

LONGEST_LINE: Final = 4_096
"""Bytes. The system writes this much to a pipe whole or not at all, so that a full pipe never cuts
a line in two."""


class LogPipe:
    """A file for structlog; a line that the pipe has no room for is dropped and counted.

    Guards against a reader that stopped: written as usual, the next line would block the one thread
    that also answers callers. The count goes out with the first line that finds room again.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        # The patched module would wait for room.
        self._write = original("os").write
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, which ends with a line break; never waits."""
        line = text.encode()
        if len(line) > LONGEST_LINE:
            line = line[: LONGEST_LINE - 2] + b"~\n"
        if self._dropped and self._put(self._describe_dropped()):
            self._dropped = 0
        if self._dropped or not self._put(line):
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: nothing is held back."""

    def _describe_dropped(self) -> bytes:
        return b'{"event": "log-lines-dropped", "count": %d}\n' % self._dropped

    def _put(self, line: bytes) -> bool:
        try:
            self._write(self._descriptor, line)
        except OSError:
            # Nobody reads, or nobody is left to read; there is no other place to say so.
            return False
        return True


def open_standard_output() -> LogPipe:
    """Return the pipe on the process's standard output."""
    sys.stdout.flush()
    return LogPipe(sys.stdout.fileno())
