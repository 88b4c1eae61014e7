from persimmonusher_node import loop

loop.install()

import os  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402

from persimmonusher_node.log_pipe import MAX_LINE_BYTES, LogPipe  # noqa: E402


class LogPipeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.pipe = LogPipe(writer)

    def read(self) -> list[bytes]:
        return os.read(self.reader, 1_000_000).split(b"\n")

    def test_a_reader_that_stopped_holds_nothing_up(self) -> None:
        """The log collector hangs, and the pipe to it is full.

        A write that waited for room would block every caller of the instance. Lines are dropped
        instead, and their number is written before the next line that finds room.
        """
        started = time.monotonic()
        for number in range(5_000):
            self.pipe.write(f'{{"line": {number:080}}}\n')
        self.assertLess(time.monotonic() - started, 1.0)
        lines = self.read()
        written = len(lines) - 1
        self.assertLess(written, 5_000)
        self.pipe.write("last\n")
        counted, last, _ = self.read()
        self.assertEqual(
            counted, b'{"event": "log-lines-dropped", "count": %d}' % (5_000 - written)
        )
        self.assertEqual(last, b"last")

    def test_a_line_that_is_too_long_is_cut_and_marked(self) -> None:
        self.pipe.write("x" * 10_000 + "\n")
        line, rest = self.read()
        self.assertEqual((len(line) + 1, line[-1:], rest), (MAX_LINE_BYTES, b"~", b""))
