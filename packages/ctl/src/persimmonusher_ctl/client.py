"""Client of the operators' service, which any instance of the fleet can answer.

Every call is safe to repeat: reads change nothing, and a proposed change is identified by its
change id. So a call whose answer was lost is retried at the next address until the timeout.
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
ATTEMPT_TIMEOUT_SECONDS: Final = 5.0
TOTAL_TIMEOUT_SECONDS: Final = 15.0
RETRY_INTERVAL_SECONDS: Final = 0.3
RETRYABLE_STATUSES: Final = frozenset(
    {Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED, Status.UNKNOWN}
)

Reply = TypeVar("Reply")
Call = Callable[[OperatorsStub, Any], Awaitable[Reply]]


class OperatorClient:
    """Calls the instances at the given addresses in turn until one answers."""

    def __init__(
        self, addresses: Sequence[str], token: str, total_seconds: float = TOTAL_TIMEOUT_SECONDS
    ) -> None:
        self._addresses = list(addresses)
        self._metadata = {TOKEN_METADATA: token}
        self._total_seconds = total_seconds

    def propose(self, change: pb.Change) -> pb.ProposeReply:
        """Propose a change, and again while the verdict is UNKNOWN and the timeout allows it."""
        deadline = time.monotonic() + self._total_seconds
        while True:
            reply: pb.ProposeReply = self._call("Propose", change)
            is_time_up = time.monotonic() + RETRY_INTERVAL_SECONDS > deadline
            if reply.verdict != pb.UNKNOWN or is_time_up:
                return reply
            time.sleep(RETRY_INTERVAL_SECONDS)

    def read_objects(self, kind: pb.ObjectKind, name: str = "") -> pb.ObjectList:
        """Read the live objects that the answering instance has applied."""
        request = pb.ReadObjectsRequest(kind=kind, name=name)
        reply: pb.ObjectList = self._call("ReadObjects", request)
        return reply

    def read_history(self, kind: pb.ObjectKind, name: str) -> pb.ObjectList:
        """Read the records of one object that the keepers still hold, oldest first."""
        request = pb.ReadHistoryRequest(kind=kind, name=name)
        reply: pb.ObjectList = self._call("ReadHistory", request)
        return reply

    def list_servers(self, service: str) -> pb.ServerList:
        """List backend servers with each instance's view."""
        reply: pb.ServerList = self._call("ListServers", pb.ListServersRequest(service=service))
        return reply

    def list_instances(self) -> pb.InstanceList:
        """List the live instances with their revisions."""
        reply: pb.InstanceList = self._call("ListInstances", pb.ListInstancesRequest())
        return reply

    def list_keepers(self) -> pb.KeeperList:
        """List the keepers with their state."""
        reply: pb.KeeperList = self._call("ListKeepers", pb.ListKeepersRequest())
        return reply

    def dismiss_keeper(self, keeper: str) -> None:
        """Remove a keeper that will never return; raise UsherError if the removal is refused."""
        self._call("DismissKeeper", pb.DismissKeeperRequest(keeper=keeper))

    def explain(self, request_id: str) -> pb.Explanation:
        """Collect from all instances the decisions that they made for a request."""
        reply: pb.Explanation = self._call("Explain", pb.ExplainRequest(request_id=request_id))
        return reply

    def _call(self, method: str, request: Any) -> Any:
        return asyncio.run(self._call_until_answered(method, request))

    async def _call_until_answered(self, method: str, request: Any) -> Any:
        problems: list[str] = []
        deadline = time.monotonic() + self._total_seconds
        while True:
            for address in self._addresses:
                try:
                    return await self._call_address(address, method, request)
                except (OSError, TimeoutError, StreamTerminatedError) as error:
                    problems.append(f"{address}: {str(error) or type(error).__name__}")
                except GRPCError as error:
                    if error.status not in RETRYABLE_STATUSES:
                        raise _translate_error(address, error) from None
                    problems.append(f"{address}: {error.status.name} {error.message or ''}")
            if time.monotonic() + RETRY_INTERVAL_SECONDS > deadline:
                break
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        tried = "; ".join(dict.fromkeys(problems))
        raise UsherError(ErrorCode.UNAVAILABLE, f"no instance answered: {tried}")

    async def _call_address(self, address: str, method: str, request: Any) -> Any:
        host, _, port = address.rpartition(":")
        async with Channel(host, int(port)) as channel:
            call = getattr(OperatorsStub(channel), method)
            return await call(request, timeout=ATTEMPT_TIMEOUT_SECONDS, metadata=self._metadata)


def _translate_error(address: str, error: GRPCError) -> UsherError:
    codes = {
        Status.UNAUTHENTICATED: ErrorCode.UNAUTHENTICATED,
        Status.NOT_FOUND: ErrorCode.NOT_FOUND,
        Status.INVALID_ARGUMENT: ErrorCode.BAD_REQUEST,
        Status.UNIMPLEMENTED: ErrorCode.UNAVAILABLE,
    }
    code = codes.get(error.status, ErrorCode.INTERNAL)
    return UsherError(code, f"{address}: {error.message or error.status.name}")
