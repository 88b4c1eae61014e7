"""Tests of reading a caller's connection ahead while one of its requests is answered."""

from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402
from io import BufferedReader  # noqa: E402

import eventlet  # noqa: E402
from eventlet.greenio import GreenSocket  # noqa: E402

from persimmonusher_node.caller_reader import MAX_READ_AHEAD_BYTES, CallerReader  # noqa: E402


class CallerReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        plain = eventlet.patcher.original("socket")
        ours, self.caller = plain.socketpair()
        self.addCleanup(self.caller.close)
        self.socket = GreenSocket(ours)
        self.addCleanup(self.socket.close)
        self.reader = CallerReader(self.socket)
        self.file = BufferedReader(self.reader)

    def test_an_end_shows_behind_bytes_and_the_bytes_are_still_read(self) -> None:
        self.caller.sendall(b"next\n")
        self.assertFalse(self.reader.has_caller_left())
        self.caller.close()
        self.assertTrue(self.reader.has_caller_left())
        self.assertEqual(self.file.readline(), b"next\n")
        self.assertEqual(self.file.readline(), b"")

    def test_bytes_read_ahead_come_before_those_that_follow(self) -> None:
        self.caller.sendall(b"one ")
        self.assertFalse(self.reader.has_caller_left())
        self.caller.sendall(b"two\n")
        self.assertEqual(self.file.readline(), b"one two\n")

    def test_no_more_is_kept_than_a_few_heads(self) -> None:
        """A caller keeps sending while its first request is in progress."""
        self.caller.setblocking(False)
        sent = 0
        for _ in range(100):
            try:
                sent += self.caller.send(b"x" * 65_536)
            except BlockingIOError:
                self.assertFalse(self.reader.has_caller_left())
        self.assertLess(sent, MAX_READ_AHEAD_BYTES * 20)
        self.assertEqual(self.file.read(sent), b"x" * sent)

    def test_an_end_made_on_this_side_is_not_taken_for_the_callers(self) -> None:
        """A stop shuts down reading of an idle connection just as a lookup arrives.

        The lookup is still read and forwarded. If the shutdown were mistaken for the caller's
        departure, the lookup would be cancelled.
        """
        self.caller.sendall(b"lookup\n")
        self.reader.shut()
        self.assertEqual(self.file.readline(), b"lookup\n")
        self.assertFalse(self.reader.has_caller_left())


if __name__ == "__main__":
    unittest.main()
