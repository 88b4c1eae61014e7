"""In-memory operators' service on its own thread, for tests of the command line."""

import asyncio
import socket
import threading
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from persimmonusher_ctl.client import TOKEN_METADATA
from persimmonusher_protocol import operator_pb2 as pb
from persimmonusher_protocol.operator_grpc import OperatorsBase

TOKEN = "secret"


class FakeOperators(OperatorsBase):
    """Keeps objects with revisions and verdicts by change id; tests set its answers and faults."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[int, str], pb.ObjectRecord] = {}
        self.records: list[pb.ObjectRecord] = []
        self.verdicts: dict[str, pb.ProposeReply] = {}
        self.proposals: list[pb.Change] = []
        self.lost_answers = 0
        self.instances = [pb.InstanceStatus(instance_id="i1", answered=True)]
        self.servers = pb.ServerList()
        self.explanation = pb.Explanation()

    async def Propose(self, stream: Any) -> None:  # noqa: N802
        """Decide the change and keep the verdict; fail while `lost_answers` is positive."""
        change = await self._receive(stream)
        self.proposals.append(change)
        reply = self.verdicts.setdefault(change.change_id, self._decide(change))
        if self.lost_answers:
            self.lost_answers -= 1
            raise GRPCError(Status.UNAVAILABLE, "the answer was lost")
        await stream.send_message(reply)

    def _decide(self, change: pb.Change) -> pb.ProposeReply:
        if change.change_id in self.verdicts:
            return self.verdicts[change.change_id]
        key = (change.kind, change.name)
        known = self.objects.get(key)
        if change.based_on != (known.revision if known else 0):
            return pb.ProposeReply(verdict=pb.CONFLICT, winner=known)
        self.revision += 1
        record = pb.ObjectRecord(
            kind=change.kind,
            name=change.name,
            revision=self.revision,
            body=change.body if change.HasField("body") else None,
            change_id=change.change_id,
            operator_name="ann",
        )
        self.records.append(record)
        self.objects[key] = record
        if not change.HasField("body"):
            del self.objects[key]
        return pb.ProposeReply(verdict=pb.ACCEPTED, revision=self.revision)

    async def ReadObjects(self, stream: Any) -> None:  # noqa: N802
        """Send the live objects of a kind, or the one with the given name."""
        request = await self._receive(stream)
        found = [
            record
            for (kind, name), record in self.objects.items()
            if kind == request.kind and request.name in ("", name)
        ]
        await stream.send_message(pb.ObjectList(revision=self.revision, objects=found))

    async def ReadHistory(self, stream: Any) -> None:  # noqa: N802
        """Send every record of one object."""
        request = await self._receive(stream)
        key = (request.kind, request.name)
        found = [record for record in self.records if (record.kind, record.name) == key]
        await stream.send_message(pb.ObjectList(revision=self.revision, objects=found))

    async def ListServers(self, stream: Any) -> None:  # noqa: N802
        """Send the servers that the test has set."""
        await self._receive(stream)
        await stream.send_message(self.servers)

    async def ListInstances(self, stream: Any) -> None:  # noqa: N802
        """Send the instances that the test has set."""
        await self._receive(stream)
        await stream.send_message(pb.InstanceList(instances=self.instances))

    async def ListKeepers(self, stream: Any) -> None:  # noqa: N802
        """Send a single keeper, which leads."""
        await self._receive(stream)
        keeper = pb.KeeperEntry(instance_id="i1", role="leader", term=3)
        await stream.send_message(pb.KeeperList(keepers=[keeper]))

    async def DismissKeeper(self, stream: Any) -> None:  # noqa: N802
        """Accept the keeper `k3#lost` and refuse any other."""
        request = await self._receive(stream)
        if request.keeper != "k3#lost":
            raise GRPCError(Status.INVALID_ARGUMENT, f"{request.keeper} is no keeper")
        await stream.send_message(pb.DismissKeeperReply())

    async def Explain(self, stream: Any) -> None:  # noqa: N802
        """Send the explanation that the test has set."""
        await self._receive(stream)
        await stream.send_message(self.explanation)

    async def _receive(self, stream: Any) -> Any:
        if stream.metadata.get(TOKEN_METADATA) != TOKEN:
            raise GRPCError(Status.UNAUTHENTICATED, "no known token")
        return await stream.recv_message()


class FakeServer:
    """Context manager that serves the fake on a free loopback port."""

    def __init__(self, service: FakeOperators) -> None:
        self._service = service
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def __enter__(self) -> "FakeServer":
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result(5)
        return self

    def __exit__(self, *details: object) -> None:
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()

    async def _start(self) -> None:
        self._server = Server([self._service])
        await self._server.start("127.0.0.1", self.port)

    async def _stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()
