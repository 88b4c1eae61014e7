"""The relay drops, breaks and delays as asked, against a plain echo server."""

import socket
import threading
import time
import unittest

from persimmonusher_lab.fleet import choose_network
from persimmonusher_lab.relay import Cut, Relay


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        network = choose_network()
        self.received = b""
        self.server = socket.create_server((f"{network}.1", 8100))
        self.addCleanup(self.server.close)
        threading.Thread(target=self.echo, daemon=True).start()
        self.relay = self.enterContext(Relay(f"{network}.2:8100", f"{network}.1:8100"))
        self.client = socket.create_connection((f"{network}.2", 8100), timeout=0.3)
        self.addCleanup(self.client.close)

    def echo(self) -> None:
        connection, _ = self.server.accept()
        with connection:
            while data := connection.recv(1000):
                self.received += data
                connection.sendall(data)

    def exchange(self, data: bytes) -> bytes | None:
        self.client.sendall(data)
        try:
            return self.client.recv(1000)
        except TimeoutError:
            return None

    def test_forwards_and_delays(self) -> None:
        self.assertEqual(self.exchange(b"one"), b"one")
        self.relay.delay_seconds = 0.05
        started = time.monotonic()
        self.assertEqual(self.exchange(b"two"), b"two")
        self.assertGreaterEqual(time.monotonic() - started, 0.1)

    def test_one_way_cuts(self) -> None:
        self.assertEqual(self.exchange(b"0"), b"0")
        self.relay.cut = Cut.TO_SOURCE
        self.assertIsNone(self.exchange(b"1"))
        self.assertEqual(self.received, b"01")
        self.relay.cut = Cut.TO_TARGET
        self.assertIsNone(self.exchange(b"2"))
        self.assertEqual(self.received, b"01")
        self.assertEqual(self.relay.dropped_bytes, 2)

    def test_reset_breaks_open_connections(self) -> None:
        self.assertEqual(self.exchange(b"x"), b"x")
        self.relay.reset_connections()
        with self.assertRaises(OSError):
            while self.client.recv(1000):
                pass
            raise ConnectionResetError("closed")


if __name__ == "__main__":
    unittest.main()
