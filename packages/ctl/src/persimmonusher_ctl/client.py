"""Calls to the operators' service of the fleet, over whichever instance answers.

Every call is safe to repeat: reads by nature, a proposed change by its change id. So a call whose
answer was lost is sent again to the next address until the time is up.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_protocol import operator_pb2 as pb
from persimmonusher_protocol.operator_grpc import OperatorsStub

TOKEN_METADATA: Final = "persimmonusher-token"
TRY_SECONDS: Final = 5.0
TOTAL_SECONDS: Final = 15.0
PAUSE_SECONDS: Final = 0.3
MOVING_ON: Final = frozenset({Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED, Status.UNKNOWN})

Reply = TypeVar("Reply")
Call = Callable[[OperatorsStub, Any], Awaitable[Reply]]


class OperatorClient:
    """Asks the instances at some addresses, one after the other."""

    def __init__(
        self, addresses: Sequence[str], token: str, total_seconds: float = TOTAL_SECONDS
    ) -> None:
        self._addresses = list(addresses)
        self._metadata = {TOKEN_METADATA: token}
        self._total_seconds = total_seconds

    def propose(self, change: pb.Change) -> pb.ProposeReply:
        """Propose a change; an UNKNOWN verdict is proposed again while there is time."""
        give_up = time.monotonic() + self._total_seconds
        while True:
            reply: pb.ProposeReply = self._ask("Propose", change)
            late = time.monotonic() + PAUSE_SECONDS > give_up
            if reply.verdict != pb.UNKNOWN or late:
                return reply
            time.sleep(PAUSE_SECONDS)

    def read_objects(self, kind: pb.ObjectKind, name: str = "") -> pb.ObjectList:
        """Read the live objects that the answering instance has applied."""
        request = pb.ReadObjectsRequest(kind=kind, name=name)
        reply: pb.ObjectList = self._ask("ReadObjects", request)
        return reply

    def read_history(self, kind: pb.ObjectKind, name: str) -> pb.ObjectList:
        """Read the kept records of one object, oldest first."""
        request = pb.ReadHistoryRequest(kind=kind, name=name)
        reply: pb.ObjectList = self._ask("ReadHistory", request)
        return reply

    def list_servers(self, service: str) -> pb.ServerList:
        """List backend servers with each instance's view."""
        reply: pb.ServerList = self._ask("ListServers", pb.ListServersRequest(service=service))
        return reply

    def list_instances(self) -> pb.InstanceList:
        """List the live instances with their revisions."""
        reply: pb.InstanceList = self._ask("ListInstances", pb.ListInstancesRequest())
        return reply

    def list_keepers(self) -> pb.KeeperList:
        """List the keepers with their state."""
        reply: pb.KeeperList = self._ask("ListKeepers", pb.ListKeepersRequest())
        return reply

    def dismiss_keeper(self, keeper: str) -> None:
        """Have a keeper that will never return removed; raise UsherError when it is refused."""
        self._ask("DismissKeeper", pb.DismissKeeperRequest(keeper=keeper))

    def explain(self, request_id: str) -> pb.Explanation:
        """Ask all instances what was decided for a request."""
        reply: pb.Explanation = self._ask("Explain", pb.ExplainRequest(request_id=request_id))
        return reply

    def _ask(self, method: str, request: Any) -> Any:
        return asyncio.run(self._ask_each(method, request))

    async def _ask_each(self, method: str, request: Any) -> Any:
        problems: list[str] = []
        give_up = time.monotonic() + self._total_seconds
        while True:
            for address in self._addresses:
                try:
                    return await self._ask_one(address, method, request)
                except (OSError, TimeoutError, StreamTerminatedError) as error:
                    problems.append(f"{address}: {str(error) or type(error).__name__}")
                except GRPCError as error:
                    if error.status not in MOVING_ON:
                        raise _translate(address, error) from None
                    problems.append(f"{address}: {error.status.name} {error.message or ''}")
            if time.monotonic() + PAUSE_SECONDS > give_up:
                break
            await asyncio.sleep(PAUSE_SECONDS)
        tried = "; ".join(dict.fromkeys(problems))
        raise UsherError(ErrorCode.UNAVAILABLE, f"no instance answered: {tried}")

    async def _ask_one(self, address: str, method: str, request: Any) -> Any:
        host, _, port = address.rpartition(":")
        async with Channel(host, int(port)) as channel:
            call = getattr(OperatorsStub(channel), method)
            return await call(request, timeout=TRY_SECONDS, metadata=self._metadata)


def _translate(address: str, error: GRPCError) -> UsherError:
    codes = {
        Status.UNAUTHENTICATED: ErrorCode.UNAUTHENTICATED,
        Status.NOT_FOUND: ErrorCode.NOT_FOUND,
        Status.INVALID_ARGUMENT: ErrorCode.BAD_REQUEST,
        Status.UNIMPLEMENTED: ErrorCode.UNAVAILABLE,
    }
    code = codes.get(error.status, ErrorCode.INTERNAL)
    return UsherError(code, f"{address}: {error.message or error.status.name}")
