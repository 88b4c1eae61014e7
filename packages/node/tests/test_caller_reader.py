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

    # Guards against a check of the caller that takes the bytes for which a green thread waits.
    def test_a_green_thread_that_waits_for_bytes_gets_them(self) -> None:
        reading = eventlet.spawn(self.file.readline)
        self.addCleanup(reading.kill)
        eventlet.sleep(0)
        self.caller.sendall(b"next\n")
        self.assertFalse(self.reader.has_caller_left())
        with eventlet.Timeout(1.0):
            self.assertEqual(reading.wait(), b"next\n")

    # Guards against a departure that shows only to the green thread that waits for bytes.
    def test_an_end_shows_while_a_green_thread_waits_for_bytes(self) -> None:
        reading = eventlet.spawn(self.file.readline)
        self.addCleanup(reading.kill)
        eventlet.sleep(0)
        self.caller.close()
        self.assertTrue(self.reader.has_caller_left())
        with eventlet.Timeout(1.0):
            self.assertEqual(reading.wait(), b"")

    # Guards against a stop that takes the end that it made itself for the caller's departure.
    def test_an_end_made_on_this_side_is_not_taken_for_the_callers(self) -> None:
        plain = eventlet.patcher.original("socket")
        with plain.create_server(("127.0.0.1", 0)) as listening:
            caller = plain.create_connection(listening.getsockname())
            self.addCleanup(caller.close)
            ours = GreenSocket(listening.accept()[0])
            self.addCleanup(ours.close)
        reader = CallerReader(ours)
        reader.shut_if_silent()
        caller.sendall(b"lookup\n")
        self.assertEqual(BufferedReader(reader).readline(), b"lookup\n")
        self.assertFalse(reader.has_caller_left())

    # Guards against a stop that cuts a request of which a part has arrived.
    def test_a_request_that_has_begun_is_read_on(self) -> None:
        self.caller.sendall(b"look")
        self.reader.shut_if_silent()
        self.assertFalse(self.reader.has_caller_left())
        self.caller.sendall(b"up\n")
        self.assertEqual(self.file.readline(), b"lookup\n")
        self.caller.close()
        self.assertTrue(self.reader.has_caller_left())


if __name__ == "__main__":
    unittest.main()
