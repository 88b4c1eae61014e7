"""A lean caller for measurements: raw HTTP/1.1 on persistent connections, open or closed loop.

An ordinary client library costs as much processor time as the proxy under test and would be what
is measured. Latency counts from the scheduled start, so that a late start counts against the fleet.
"""

import json
import re
import socket
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from itertools import count, cycle
from pathlib import Path
from typing import Final

import eventlet
from eventlet.queue import LightQueue
from hdrh.histogram import HdrHistogram

from persimmonusher_lab import wire

MAX_LATENCY_US: Final = 60_000_000
SOCKET_TIMEOUT_SECONDS: Final = 10.0
CONTENT_LENGTH: Final = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
HEAD_END: Final = b"\r\n\r\n"


@dataclass(frozen=True)
class ClientOptions:
    """One bounded run of the client."""

    addresses: tuple[str, ...]
    host: str
    seconds: float
    rate: float
    """Requests started per second; 0 keeps every connection busy instead."""
    connections: int = 32
    is_entry: bool = False
    work_ms: float = 1.0
    name: str = "m"
    """Begins every Idempotency-Key, so that runs don't share keys."""


@dataclass(frozen=True)
class ClientFigures:
    """What one run of the client saw; latencies in milliseconds."""

    answered: int
    rate: float
    p50: float
    p90: float
    p99: float
    p999: float
    statuses: dict[str, int]


class Connection:
    """One persistent connection that carries one request at a time."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._socket: socket.socket | None = None

    def exchange(self, request: bytes) -> int:
        """Send a request and read its whole answer; return the status, or 0 if it failed."""
        try:
            if self._socket is None:
                host, _, port = self._address.rpartition(":")
                self._socket = socket.create_connection((host, int(port)), SOCKET_TIMEOUT_SECONDS)
                self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._socket.sendall(request)
            return self._read(self._socket)
        except OSError:
            self.close()
            return 0

    def close(self) -> None:
        """Close the connection; the next exchange opens it again."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _read(self, connection: socket.socket) -> int:
        data = b""
        while (end := data.find(HEAD_END)) < 0:
            data += self._receive(connection)
        found = CONTENT_LENGTH.search(data, 0, end + 2)
        missing = int(found.group(1)) - (len(data) - end - len(HEAD_END)) if found else 0
        while missing > 0:
            missing -= len(self._receive(connection))
        if b"\r\nconnection: close" in data[:end].lower():
            self.close()
        return int(data[9:12])

    def _receive(self, connection: socket.socket) -> bytes:
        data = connection.recv(65_536)
        if not data:
            raise ConnectionError("the connection ended in the middle of an answer")
        return data


class MeasuringClient:
    """Runs one measurement."""

    def __init__(self, options: ClientOptions) -> None:
        self._options = options
        self._numbers = count(1)
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._statuses: Counter[str] = Counter()

    def run(self) -> ClientFigures:
        """Run for the given time and return the figures."""
        options = self._options
        addresses = cycle(options.addresses)
        connections = [Connection(next(addresses)) for _ in range(options.connections)]
        started = time.monotonic()
        if options.rate:
            self._run_open(connections, started)
        else:
            self._run_closed(connections, started + options.seconds)
        seconds = time.monotonic() - started
        for connection in connections:
            connection.close()
        return self._make_figures(seconds)

    def _run_open(self, connections: Sequence[Connection], first: float) -> None:
        idle: LightQueue = LightQueue()
        for connection in connections:
            idle.put(connection)
        workers = eventlet.GreenPool(len(connections))

        def send(due: float) -> None:
            connection = idle.get()
            self._exchange(connection, due)
            idle.put(connection)

        for number in range(int(self._options.seconds * self._options.rate)):
            due = first + number / self._options.rate
            if (wait := due - time.monotonic()) > 0:
                eventlet.sleep(wait)
            workers.spawn_n(send, due)
        workers.waitall()

    def _run_closed(self, connections: Sequence[Connection], until: float) -> None:
        def send_all(connection: Connection) -> None:
            while (now := time.monotonic()) < until:
                self._exchange(connection, now)

        workers = eventlet.GreenPool(len(connections))
        for connection in connections:
            workers.spawn_n(send_all, connection)
        workers.waitall()

    def _exchange(self, connection: Connection, due: float) -> None:
        status = connection.exchange(self._make_request())
        self._histogram.record_value(max(1, int((time.monotonic() - due) * 1_000_000)))
        self._statuses[str(status)] += 1

    def _make_request(self) -> bytes:
        options = self._options
        token = f"{options.name}-{next(self._numbers)}"
        head = f"/x?token={token}&work_ms={options.work_ms} HTTP/1.1\r\nHost: {options.host}\r\n"
        head += f"{wire.CALLER}: lab\r\n"
        if options.is_entry:
            head += f"{wire.IDEMPOTENCY_KEY}: {token}\r\nContent-Length: 0\r\n"
        method = "POST" if options.is_entry else "GET"
        return f"{method} {head}\r\n".encode()

    def _make_figures(self, seconds: float) -> ClientFigures:
        answered = sum(self._statuses.values())

        def read(percentile: float) -> float:
            return float(self._histogram.get_value_at_percentile(percentile)) / 1000

        return ClientFigures(
            answered=answered,
            rate=answered / seconds,
            p50=read(50.0),
            p90=read(90.0),
            p99=read(99.0),
            p999=read(99.9),
            statuses=dict(self._statuses),
        )


def write_figures(figures: ClientFigures, path: Path) -> None:
    """Write the figures as JSON."""
    path.write_text(json.dumps(asdict(figures)))


def read_figures(path: Path) -> ClientFigures:
    """Read the figures of a finished run."""
    return ClientFigures(**json.loads(path.read_text()))
