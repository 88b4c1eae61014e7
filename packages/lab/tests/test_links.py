"""Links fall silent and come back as TCP does, against a plain echo server."""

import socket
import threading
import time
import unittest

from persimmonusher_lab.fleet import choose_network
from persimmonusher_lab.links import OPENED, OPENING_SECONDS, RETRANSMISSION_SECONDS, Links

PORT = 8100
SOON_SECONDS = 0.1


class LinksTest(unittest.TestCase):
    def setUp(self) -> None:
        network = choose_network()
        self.source, self.target = f"{network}.1", f"{network}.2"
        self.server = socket.create_server((self.target, PORT))
        self.addCleanup(self.server.close)
        threading.Thread(target=self.accept, daemon=True).start()
        self.links = self.enterContext(Links())

    def accept(self) -> None:
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.echo, args=(connection,), daemon=True).start()

    def echo(self, connection: socket.socket) -> None:
        with connection:
            while data := connection.recv(1000):
                connection.sendall(data)

    def open(self) -> socket.socket:
        host, _, port = self.links.address.rpartition(":")
        client = socket.create_connection((host, int(port)), timeout=5.0)
        self.addCleanup(client.close)
        client.sendall(f"{self.source} {self.target}:{PORT}\n".encode())
        return client

    def open_at_once(self) -> socket.socket:
        client = self.open()
        self.assertEqual(client.recv(1), OPENED)
        return client

    def measure(self, client: socket.socket) -> float:
        """Return the seconds until anything arrives."""
        started = time.monotonic()
        self.assertTrue(client.recv(1))
        return time.monotonic() - started

    def test_what_is_lost_arrives_at_the_next_retransmission(self) -> None:
        client = self.open_at_once()
        self.links.set_cut({(self.source, self.target)})
        client.sendall(b"x")
        time.sleep(1.5 * RETRANSMISSION_SECONDS)
        self.links.set_cut(())
        waited = self.measure(client)
        self.assertAlmostEqual(waited, 1.5 * RETRANSMISSION_SECONDS, delta=SOON_SECONDS)

    def test_a_connection_opened_during_a_cut_hangs(self) -> None:
        self.links.set_cut({(self.target, self.source)})
        client = self.open()
        time.sleep(0.5 * OPENING_SECONDS)
        self.links.set_cut(())
        waited = self.measure(client)
        self.assertAlmostEqual(waited, 0.5 * OPENING_SECONDS, delta=SOON_SECONDS)
        client.sendall(b"x")
        self.assertLess(self.measure(client), SOON_SECONDS)

    def test_a_reset_reaches_both_ends(self) -> None:
        client = self.open_at_once()
        self.links.reset({(self.target, self.source)})
        with self.assertRaises(ConnectionError):
            if not client.recv(1):
                raise ConnectionResetError("closed")

    def test_new_connections_are_refused_while_open_ones_stay_open(self) -> None:
        client = self.open_at_once()
        self.links.set_refusing({(self.source, self.target)})
        refused = self.open()
        self.assertEqual(refused.recv(1), b"")
        client.sendall(b"x")
        self.assertEqual(client.recv(1), b"x")


if __name__ == "__main__":
    unittest.main()
