"""Errors of calls between instances, and the report of a keeper's state."""

import asyncio
from dataclasses import dataclass
from typing import Final

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from persimmonusher_agreement.log_messages import KeeperId, Members
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.keeper_wire import decode_members
from persimmonusher_protocol import keeper_pb2 as pb

CALL_ERRORS: Final = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    OSError,
    asyncio.TimeoutError,
)
"""Errors raised by a call to an instance that is gone, unreachable or restarting."""


@dataclass(frozen=True)
class KeeperReport:
    """A keeper's state as it reports it, or why it couldn't be asked."""

    address: str
    keeper: KeeperId
    empty: bool
    """Whether it holds no log yet."""
    role: str
    term: int
    leader: KeeperId
    last_index: int
    commit_index: int
    snapshot_index: int
    revision: Revision
    members: Members
    first_keeper: str
    """The instance that its settings list first among the keepers."""
    failure: str
    """Why it isn't running or can't be reached; empty while it works."""

    @classmethod
    def unreachable(cls, address: str, failure: str) -> "KeeperReport":
        """Make the report of a keeper that doesn't answer."""
        return decode_report(address, pb.KeeperState(role="unreachable", failure=failure))


def decode_report(address: str, wire: pb.KeeperState) -> KeeperReport:
    """Return the report in a wire message."""
    return KeeperReport(
        address,
        KeeperId(wire.keeper),
        wire.empty,
        wire.role,
        wire.term,
        KeeperId(wire.leader),
        wire.last_index,
        wire.commit_index,
        wire.snapshot_index,
        Revision(wire.revision),
        decode_members(wire.members),
        wire.first_keeper,
        wire.failure,
    )
