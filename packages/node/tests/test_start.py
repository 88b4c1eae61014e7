"""What a process loads before it can serve: callers lose their requests until it has started."""

import os
import subprocess
import sys
import unittest
from pathlib import Path

LOADED = """
from persimmonusher_node import loop

loop.install()
import sys
import persimmonusher_node.tiers.process

print(*(name for name in sys.argv[1:] if name in sys.modules))
"""


class StartTest(unittest.TestCase):
    def test_an_entry_loads_nothing_that_it_does_not_use(self) -> None:
        """All entries are killed at once, and callers resend before the entries have restarted.

        Loading the DNS resolver and the terminal output of libraries takes more than a third of the
        time until the first answer.
        """
        hidden = "import sys; sys.modules['rich'] = None\n"
        done = subprocess.run(
            [sys.executable, "-c", hidden + LOADED, "dns", "typer"],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONWARNINGS": "ignore"},
        )
        self.assertEqual(done.stdout.split(), [])

    def test_what_is_installed_with_it_holds_no_terminal_output(self) -> None:
        """structlog loads rich if it is installed, whether or not it is used."""
        requirements = Path(__file__).parents[3] / "deploy" / "requirements.txt"
        names = {line.split("==")[0] for line in requirements.read_text().splitlines()}
        self.assertEqual(names & {"rich", "typer"}, set())


if __name__ == "__main__":
    unittest.main()
