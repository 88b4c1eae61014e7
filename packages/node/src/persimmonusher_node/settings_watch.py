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

POLL_SECONDS: Final = 1.0
"""How long a change without a signal may go unseen; one look at the file costs microseconds."""
LIVE_FIELDS: Final = frozenset({"seeds", "seeds_port", "log_level"})
"""Settings that take effect without a restart."""

_log = get_logger(__name__)


class SettingsWatch(Component):
    """Reads the settings again and hands on those that are in order.

    Bad settings are reported with all findings, and the former ones stay in force: an operator's
    slip in a file must not end an instance that works.
    """

    def __init__(self, path: Path, settings: Settings, apply: Callable[[Settings], None]) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._seen = self._look()
        self._hangup = False
        self._thread: GreenThread | None = None

    def start(self) -> None:
        """Handle SIGHUP, and begin to look at the file."""
        signal.signal(signal.SIGHUP, self._handle)
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """End the looking; SIGHUP goes on to be harmless."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def check(self) -> None:
        """Read the settings again if there was a signal or the file is another one."""
        seen = self._look()
        if not self._hangup and seen == self._seen:
            return
        signalled, self._hangup, self._seen = self._hangup, False, seen
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
            eventlet.sleep(POLL_SECONDS)
            try:
                self.check()
            except Exception:
                # Without this loop no later change would be seen.
                _log.exception("settings check failed")

    def _look(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            # A file that is being replaced may be missing for a moment.
            return None
        return (status.st_mtime_ns, status.st_size)

    def _handle(self, number: int, frame: FrameType | None) -> None:
        self._hangup = True


def list_changed(former: Settings, settings: Settings) -> set[str]:
    """List the fields that differ."""
    return {
        name for name in Settings.model_fields if getattr(former, name) != getattr(settings, name)
    }
