"""Settings that change while the process runs: on SIGHUP, and when the file changes without one."""

import signal
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Final

import eventlet
from eventlet.greenthread import GreenThread
from structlog import get_logger

from persimmonusher_model.errors import UsherError
from persimmonusher_node.component import Component
from persimmonusher_node.settings import Settings
from persimmonusher_node.settings_file import load_settings

POLL_INTERVAL_SECONDS: Final = 1.0
"""Longest time until a change without a signal is noticed; one check of the file costs
microseconds."""
LIVE_FIELDS: Final = frozenset({"seeds", "seeds_port", "log_level"})
"""Settings that take effect without a restart."""

_log = get_logger(__name__)


class SettingsWatch(Component):
    """Reloads the settings, and applies them if they are valid.

    Invalid settings are logged with all findings, and the previous ones stay in force: an
    operator's mistake in the file must not end a working instance.
    """

    def __init__(self, path: Path, settings: Settings, apply: Callable[[Settings], None]) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._file_state = self._read_file_state()
        self._is_signalled = False
        self._thread: GreenThread | None = None

    def start(self) -> None:
        """Install the SIGHUP handler, and start to check the file."""
        signal.signal(signal.SIGHUP, self._handle)
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop checking the file; the SIGHUP handler stays, so that the signal does no harm."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def check(self) -> None:
        """Reload the settings if there was a signal or the file has changed."""
        file_state = self._read_file_state()
        if not self._is_signalled and file_state == self._file_state:
            return
        signalled, self._is_signalled, self._file_state = self._is_signalled, False, file_state
        try:
            settings = load_settings(self._path)
        except UsherError as error:
            _log.error("settings-refused", path=str(self._path), error=str(error))
            return
        changed = list_changed(self._settings, settings)
        self._settings = settings
        _log.info(
            "settings-reloaded",
            signalled=signalled,
            changed=sorted(changed & LIVE_FIELDS),
            need_restart=sorted(changed - LIVE_FIELDS),
        )
        self._apply(settings)

    def _run(self) -> None:
        while True:
            eventlet.sleep(POLL_INTERVAL_SECONDS)
            try:
                self.check()
            except Exception:
                # Without this loop no later change would be noticed.
                _log.exception("settings check failed")

    def _read_file_state(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            # A file that is being replaced may be missing for a moment.
            return None
        return (status.st_mtime_ns, status.st_size)

    def _handle(self, number: int, frame: FrameType | None) -> None:
        self._is_signalled = True


def list_changed(previous: Settings, settings: Settings) -> set[str]:
    """Return the names of the fields that differ."""
    return {
        name for name in Settings.model_fields if getattr(previous, name) != getattr(settings, name)
    }
