"""Clients, workers and an operator that speak what PROTOCOL.md says; all in one asyncio loop."""

import asyncio
import itertools
import json
import random
import time

_numbers = itertools.count(1)


def make_id():
    return f"{random.getrandbits(40):010x}{next(_numbers):06x}"


SHED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
"""What a full worker answers, as `fleetbench wire` prints it: without an attempt id."""


async def read_head(reader):
    """Return the first line and the headers (names in lower case) of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers, has_body=True):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                while (await reader.readline()) not in (b"\r\n", b"\n", b""):
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if has_body else b""


class Answer:
    def __init__(self, status=0, body=b"", headers=None, error=""):
        self.status, self.body, self.headers, self.error = status, body, headers or {}, error


async def call(address, method, path, body=b"", headers=None, timeout=5.0):
    """Make one call on a new connection; status 0 if there was no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**22)
            lines = [f"{method} {path} HTTP/1.1"]
            given = {"Host": address, **(headers or {})}
            if body or method in ("PUT", "POST"):
                given["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            first, answered = await read_head(reader)
            content = await read_body(reader, answered)
            return Answer(int(first.split(" ")[1]), content, answered)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        return Answer(error=repr(error))
    finally:
        if writer is not None:
            writer.close()


class Worker:
    """A worker: runs requests one at a time on each connection, `work` seconds each.

    `runs` has (attempt id, time, method, target, body, headers) of each request that it ran.
    """

    def __init__(self, worker_id, service, host, zone, born=None, slots=6, work=0.05):
        self.id, self.service, self.host, self.zone = worker_id, service, host, zone
        self.born, self.slots, self.work = born, slots, work
        self.runs = []
        self.rejected = []
        self.sequence = 0
        self.port = 0
        self.queue = None
        """Requests that wait for a slot; beyond them it sheds. None: the slots aren't enforced."""
        self.shed = []
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self.respond = None
        """Replaces the usual answer: called with (attempt id, headers, writer, target)."""
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.host, port, limit=2**22)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def exit(self):
        """End as a process does: the port closes, and so do all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def describe(self, state="ready"):
        self.sequence += 1
        document = {
            "address": self.address,
            "information": {
                "service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots
            },
            "status": {"state": state, "sequence": self.sequence, "cold-left-ms": 0},
        }
        if self.born is not None:
            document["born"] = self.born
        return json.dumps(document).encode()

    async def beat(self, control, state="ready", timeout=1.0):
        path = f"/api/instances/{self.id}"
        kind = {"Content-Type": "application/json"}
        return await call(control, "PUT", path, self.describe(state), kind, timeout)

    async def leave(self, control, timeout=1.0):
        body = b"" if self.born is None else json.dumps({"born": self.born}).encode()
        kind = {"Content-Type": "application/json"}
        return await call(control, "DELETE", f"/api/instances/{self.id}", body, kind, timeout)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer):
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers, False)
        if target == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.id) != self.id:
            self.rejected.append((attempt, time.monotonic()))
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if self.queue is not None:
            return await self._run_in_slot(attempt, writer, method, target, body, headers)
        self.runs.append((attempt, time.monotonic(), method, target, body, headers))
        if self.respond is not None:
            return await self.respond(attempt, headers, writer, target)
        await asyncio.sleep(self.work)
        self.write_answer(writer, attempt)
        await writer.drain()
        return True

    async def _run_in_slot(self, attempt, writer, *request):
        if self._free.locked() and self._waiting >= self.queue:
            self.shed.append((attempt, time.monotonic()))
            writer.write(SHED)
            return True
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self.runs.append((attempt, time.monotonic(), *request))
            await asyncio.sleep(self.work)
        self.write_answer(writer, attempt)
        await writer.drain()
        return True

    def write_answer(self, writer, attempt, status="200 OK"):
        content = f"done {attempt}".encode()
        writer.write(
            f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {attempt}.s\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode() + content
        )


def make_rule(name, prefix, service, kind="unsafe", timeout_ms=3000, attempts=2, **further):
    return {
        "name": name, "kind": kind, "target-latency-ms": 1000, "priority": 1,
        "match": {"path-prefix": prefix},
        "action": {"service": service, "timeout-ms": timeout_ms, "attempts": attempts}, **further,
    }


def make_configuration(version, rules, services, host="hulo84.example", **further):
    return {
        "version": f"r{version}",
        "limits": {
            "header-bytes": 16384, "body-bytes": 67108864, "header-ms": 3000, "idle-ms": 15000
        },
        "listeners": [{"host": host, "rules": rules}],
        "clusters": [
            {"name": name, "health-path": "/health", "connection-limit": 390, "protocol": "h1",
             "tls": False}
            for name in services
        ],
        **further,
    }


async def put_configuration(controls, document, seconds=20.0):
    """Send a configuration until a machine acknowledges it; return the answer."""
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for control in controls:
            answer = await call(control, "PUT", "/api/configuration", body,
                                {"Content-Type": "application/json"}, 2.5)
            if answer.status in (200, 400, 409, 412, 413, 422):
                return answer
        await asyncio.sleep(0.3)
    return Answer(error="never acknowledged")


async def request(front, path, method="POST", body=b"{}", host="hulo84.example", left_ms=3000,
                  attempt=None, headers=None):
    """Send one client attempt; return it with its answer."""
    attempt = attempt or make_id()
    given = {"Host": host, "X-Attempt-Id": attempt, "X-Remaining-Milliseconds": str(left_ms)}
    answer = await call(front, method, path, b"" if method == "GET" else body,
                        {**given, **(headers or {})}, left_ms / 1000.0 + 0.5)
    return attempt, answer


async def wait_ready(fronts, path, seconds=20.0, **how):
    """Wait until every front answers a request with success."""
    end = time.monotonic() + seconds
    for front in fronts:
        while True:
            _, answer = await request(front, path, **how)
            if answer.status == 200:
                break
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.2)
    return True


class HeldLink:
    """A partition between a worker and one core machine: what is sent is held until `heal`."""

    def __init__(self, control, is_cut=True):
        self._control = control
        self._healed = asyncio.Event()
        if not is_cut:
            self._healed.set()
        self.address = ""
        self._tasks = set()

    async def start(self, host):
        server = await asyncio.start_server(self._carry, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        return self

    def heal(self):
        self._healed.set()

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _carry(self, reader, writer):
        self._tasks.add(asyncio.current_task())

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                if sink.can_write_eof():
                    sink.write_eof()
            except OSError:
                pass

        try:
            await self._healed.wait()
            host, _, port = self._control.rpartition(":")
            there = await asyncio.open_connection(host, int(port))
            # The sender's end is not passed on before the answer: it may have given up meanwhile.
            there_task = asyncio.ensure_future(pump(reader, _KeptOpen(there[1])))
            try:
                await pump(there[0], writer)
            finally:
                there_task.cancel()
                there[1].close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class _KeptOpen:
    """A writer whose end is not sent."""

    def __init__(self, writer):
        self.write, self.drain = writer.write, writer.drain

    def can_write_eof(self):
        return False
