"""Starts the processes of a demo or test and ends exactly those, whatever happens.

Each child gets its own session, so that Ctrl-C reaches only the runner, which then ends its
children in order. If the runner itself is killed, the kernel kills its children.
"""

import ctypes
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import FrameType, TracebackType
from typing import Final, Self

PR_SET_PDEATHSIG: Final = 1
STOP_TIMEOUT_SECONDS: Final = 5.0
LOG_TAIL_LINES: Final = 12
_LIBC: Final = ctypes.CDLL(None)


@dataclass(frozen=True)
class LabProcess:
    """One child process, with its name and its log file."""

    name: str
    popen: "subprocess.Popen[bytes]"
    log: Path

    @property
    def is_running(self) -> bool:
        """Return whether the child has not ended yet."""
        return self.popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this child alone."""
        self.popen.send_signal(number)

    def wait(self, seconds: float) -> int | None:
        """Wait up to `seconds` for the end; return the exit code, or None if it still runs."""
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def read_tail(self) -> str:
        """Return the last lines of the child's log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])


class ProcessRunner:
    """Owns the child processes of one demo; ends them when its context is left.

    >>> with ProcessRunner(folder) as runner:  # doctest: +SKIP
    ...     runner.start("s1", ["persimmonusher_lab", "backend-server", ...])
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: list[LabProcess] = []
        self._previous = signal.getsignal(signal.SIGTERM)

    def start(self, name: str, arguments: Sequence[str]) -> LabProcess:
        """Start `python -m ARGUMENTS...` as a child, with its output appended to `NAME.log`."""
        log = self._folder / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )
        child = LabProcess(name, popen, log)
        self._children.append(child)
        return child

    def list_crashed(self, expected: Sequence[LabProcess] = ()) -> list[LabProcess]:
        """List children that ended with an error, except the expected ones."""
        return [
            child
            for child in self._children
            if child not in expected and child.popen.poll() not in (None, 0)
        ]

    def end_all(self) -> None:
        """Send SIGCONT and SIGTERM to every running child, then kill those that are too slow."""
        running = [child for child in self._children if child.is_running]
        for child in running:
            child.send(signal.SIGCONT)
            child.send(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for child in running:
            if child.wait(max(0.0, deadline - time.monotonic())) is None:
                child.send(signal.SIGKILL)
                child.wait(STOP_TIMEOUT_SECONDS)

    def __enter__(self) -> Self:
        signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.end_all()
        signal.signal(signal.SIGTERM, self._previous)


def _end_with_parent() -> None:
    """Ask the kernel to end this child when its parent dies without cleaning up."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() == 1:
        os._exit(1)


def _exit_on_signal(number: int, frame: FrameType | None) -> None:
    raise SystemExit(128 + number)
