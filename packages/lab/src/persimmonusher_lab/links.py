"""The network between processes: links that can fall silent or refuse, seen through TCP.

Processes that run under `linked_process` open every connection to each other, and to backend
servers, through a proxy and name both ends, so that each direction of each link can be cut by
itself. The proxy is a process of its own (`python -m persimmonusher_lab.links`), and isn't held up
by what a test does meanwhile.
"""

import asyncio
import json
import subprocess
import sys
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import asdict, dataclass
from types import TracebackType
from typing import Final, Self

RETRANSMISSION_SECONDS: Final = 0.2
"""TCP's shortest wait before data is sent again; it doubles with each try."""
OPENING_SECONDS: Final = 1.0
"""The same for the packet that opens a connection."""
CHUNK_BYTES: Final = 65_536
HOST: Final = "127.0.0.1"
END_TIMEOUT_SECONDS: Final = 5.0
BACKLOG: Final = 4096
"""Connections that wait to be accepted: with fewer, the kernel would drop some of its own."""
MAX_COMMAND_BYTES: Final = 1_048_576
OPENED: Final = b"+"
"""Sent to the source once the target has accepted the connection."""

Link = tuple[str, str]
"""The hosts of a source and a target: one direction between two processes."""


@dataclass(frozen=True)
class Command:
    """What the proxy is told: the links that are cut or refuse from now on, and those to reset."""

    cut: tuple[Link, ...] = ()
    refusing: tuple[Link, ...] = ()
    reset: tuple[Link, ...] = ()


class Links:
    """Runs the proxy and tells it which links are cut.

    What is lost is sent again at TCP's intervals, so a connection comes back some time after its
    links, and a new one that is opened during the cut hangs as long as TCP's opening does.

    >>> with Links() as links:  # doctest: +SKIP
    ...     links.set_cut({("127.0.9.1", "127.0.9.2")})
    ...     links.set_cut(())
    """

    def __init__(self) -> None:
        self.address = ""
        """Where processes connect, as `ip:port`."""
        self._cut: tuple[Link, ...] = ()
        self._refusing: tuple[Link, ...] = ()
        self._proxy: subprocess.Popen[str] | None = None

    def set_cut(self, links: Iterable[Link]) -> None:
        """Lose everything on these links, without an error at either end, and on no others."""
        self._cut = tuple(links)
        self._tell(Command(self._cut, self._refusing))

    def set_refusing(self, links: Iterable[Link]) -> None:
        """Refuse new connections on these links, and on no others; open ones stay open."""
        self._refusing = tuple(links)
        self._tell(Command(self._cut, self._refusing))

    def reset(self, links: Iterable[Link]) -> None:
        """Break the open connections between the ends of these links, with an error at both."""
        self._tell(Command(self._cut, self._refusing, tuple(links)))

    def __enter__(self) -> Self:
        self._proxy = subprocess.Popen(
            [sys.executable, "-m", __name__],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = self._read_line()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._proxy is not None
        assert self._proxy.stdin is not None and self._proxy.stdout is not None
        self._proxy.stdin.close()
        self._proxy.wait(END_TIMEOUT_SECONDS)
        self._proxy.stdout.close()

    def _tell(self, command: Command) -> None:
        """Send a command and wait until it is in force."""
        assert self._proxy is not None and self._proxy.stdin is not None
        print(json.dumps(asdict(command)), file=self._proxy.stdin, flush=True)
        self._read_line()

    def _read_line(self) -> str:
        assert self._proxy is not None and self._proxy.stdout is not None
        line = self._proxy.stdout.readline()
        if not line:
            raise ConnectionError("the proxy has ended")
        return line.strip()


class LinkProxy:
    """Forwards connections, and loses what travels on a cut link."""

    def __init__(self) -> None:
        self._cut: frozenset[Link] = frozenset()
        self._refusing: frozenset[Link] = frozenset()
        self._open: dict[asyncio.StreamWriter, Link] = {}

    async def run(self) -> None:
        """Print the address, and obey the commands on standard input until it ends."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=BACKLOG)
        host, port = server.sockets[0].getsockname()
        print(f"{host}:{port}", flush=True)
        commands = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        while line := await commands.readline():
            self._obey(json.loads(line))
            print("done", flush=True)

    def _obey(self, command: dict[str, list[list[str]]]) -> None:
        self._cut = read_links(command["cut"])
        self._refusing = read_links(command["refusing"])
        reset = read_links(command["reset"])
        for writer, (source, target) in self._open.items():
            if (source, target) in reset or (target, source) in reset:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._forward(reader, writer)
        except asyncio.CancelledError:
            # The proxy ends, and asyncio would log this as a failure of the connection.
            return
        finally:
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source, address = (await reader.readuntil(b"\n")).decode().split()
        target, _, port = address.rpartition(":")
        there, back = (source, target), (target, source)
        await self._wait_while_cut({there, back}, OPENING_SECONDS)
        if reader.at_eof() or there in self._refusing:
            return
        target_reader, target_writer = await asyncio.open_connection(target, int(port))
        self._open |= {writer: there, target_writer: there}
        try:
            writer.write(OPENED)
            await asyncio.gather(
                self._pump(reader, target_writer, there), self._pump(target_reader, writer, back)
            )
        finally:
            del self._open[writer], self._open[target_writer]
            target_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            await self._wait_while_cut({link}, RETRANSMISSION_SECONDS)
            if error := reader.exception():
                # The sender has reset the connection, so its kernel sends nothing again.
                raise error
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    async def _wait_while_cut(self, links: set[Link], first_seconds: float) -> None:
        """Wait until one of the tries, at doubling intervals, finds none of the links cut."""
        wait = first_seconds
        while not self._cut.isdisjoint(links):
            await asyncio.sleep(wait)
            wait *= 2


def read_links(ends: Iterable[Iterable[str]]) -> frozenset[Link]:
    """Return the links in a command, which JSON holds as lists."""
    return frozenset((source, target) for source, target in ends)


def main() -> None:
    """Run the proxy; its connections end with the process."""
    with suppress(KeyboardInterrupt):
        asyncio.run(LinkProxy().run())


if __name__ == "__main__":
    main()
