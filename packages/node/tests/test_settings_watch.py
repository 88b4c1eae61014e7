from persimmonusher_node import loop

loop.install()

import os  # noqa: E402
import signal  # noqa: E402
import tempfile  # noqa: E402
import unittest  # noqa: E402
from pathlib import Path  # noqa: E402

import eventlet  # noqa: E402

from persimmonusher_node.settings import Settings  # noqa: E402
from persimmonusher_node.settings_file import load_settings  # noqa: E402
from persimmonusher_node.settings_watch import SettingsWatch  # noqa: E402

TEXT = """{
  "instance_id": "e1", "failure_domain": "north", "role": "entry", "peer_token": "t",
  "listen": {"callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "metrics": "127.0.0.1:3"},
  "seeds": ["127.0.0.1:%d"]
}"""


class SettingsWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"
        self.path.write_text(TEXT % 70)
        self.applied: list[Settings] = []
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        self.watch = SettingsWatch(self.path, load_settings(self.path), self.applied.append)

    def test_a_changed_file_is_taken_with_and_without_a_signal(self) -> None:
        with self.watch:
            self.watch.check()
            self.assertEqual(self.applied, [])
            self.path.write_text(TEXT % 7100)
            self.watch.check()
            os.kill(os.getpid(), signal.SIGHUP)
            eventlet.sleep(0)
            self.watch.check()
        self.assertEqual([s.seeds for s in self.applied], [("127.0.0.1:7100",)] * 2)

    def test_bad_settings_leave_the_former_in_force(self) -> None:
        """An operator's mistake leaves a file that can't be parsed, or that has an unknown role.

        If instances exited because of it, one mistake would end the whole fleet within a second.
        """
        for text in ("{", TEXT.replace('"entry"', '"guest"') % 70, ""):
            with self.subTest(text[:10]):
                self.path.write_text(text)
                self.watch.check()
        self.path.unlink()
        self.watch.check()
        self.assertEqual(self.applied, [])
        self.path.write_text(TEXT % 7200)
        self.watch.check()
        self.assertEqual(len(self.applied), 1)
