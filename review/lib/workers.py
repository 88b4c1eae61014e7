"""Stand-in workers, by PROTOCOL.md: threads of this process, each on an address of its own."""

import json
import socket
import threading
import time

from deployment import call


class Worker:
    """One address; `begin` starts an incarnation there, `crash` ends it without a word."""

    def __init__(self, worker_id, service, zone, host, work_s=0.02, slots=6):
        self.worker_id, self.service, self.zone = worker_id, service, zone
        self.work_s, self.slots = work_s, slots
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        self.runs = []
        """(attempt id, time at which the work began, incarnation)"""
        self.connections = set()
        self.born = 0
        self.sequence = 0
        self.is_up = False
        self.lock = threading.Lock()

    def begin(self):
        """Start an incarnation, which knows nothing of the one before."""
        if self.is_up:
            return
        if self.listener.fileno() < 0:
            host, _, port = self.address.rpartition(":")
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind((host, int(port)))
        self.born, self.sequence, self.is_up = int(time.time() * 1000), 0, True
        self.listener.listen(128)
        threading.Thread(target=self._accept, args=(self.listener, self.born), daemon=True).start()

    def crash(self):
        """End at once: the kernel closes all sockets."""
        self.is_up = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    exit = crash

    # What it says of itself

    def describe(self, state="ready"):
        self.sequence += 1
        return json.dumps(
            {
                "born": self.born,
                "address": self.address,
                "information": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {"state": state, "sequence": self.sequence, "cold-left-ms": 0},
            }
        ).encode()

    def beat(self, control, state="ready", timeout=1.0):
        """Send a heartbeat to one control address; return whether it was acknowledged."""
        path = f"/api/instances/{self.worker_id}"
        return call(control, "PUT", path, self.describe(state), JSON, timeout)[0] == 200

    def say_gone(self, control, timeout=1.0):
        """Deregister at one control address; return whether it was acknowledged."""
        path = f"/api/instances/{self.worker_id}"
        body = json.dumps({"born": self.born}).encode()
        return call(control, "DELETE", path, body, JSON, timeout)[0] == 200

    # Serving

    def _accept(self, listener, born):
        while self.is_up and self.born == born:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection, born), daemon=True).start()

    def _serve(self, connection, born):
        reader = connection.makefile("rb")
        try:
            while self._answer(connection, reader, born):
                pass
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            reader.close()
            connection.close()

    def _answer(self, connection, reader, born):
        line = reader.readline()
        if not line:
            return False
        headers = {}
        while (head := reader.readline().strip()):
            name, _, value = head.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = reader.read(int(headers.get("content-length", 0)))
        method, target, _ = line.decode("latin-1").split()
        attempt = headers.get("x-attempt-id", "")
        if target == "/health":
            return send(connection, 200, [("X-Instance-Id", self.worker_id)], b"")
        expected = headers.get("x-expected-instance", self.worker_id)
        if expected != self.worker_id:
            return send(connection, 421, [("X-Instance-Id", self.worker_id)], b"")
        with self.lock:
            self.runs.append((attempt, time.monotonic(), born))
        return self.work(connection, attempt, method, target, body, headers)

    def work(self, connection, attempt, method, target, body, headers):
        time.sleep(self.work_s)
        if not self.is_up:
            return False
        own = [("X-Attempt-Id", attempt), ("X-Response-Signature", "sig-" + attempt)]
        return send(connection, 200, own, b"done " + attempt.encode())


JSON = {"Content-Type": "application/json"}
REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable", 500: "Internal Server Error"}


def send(connection, status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    connection.sendall("\r\n".join(lines).encode("latin-1") + body)
    return True
