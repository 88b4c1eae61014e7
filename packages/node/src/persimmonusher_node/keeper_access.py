"""Operators' calls to the keepers from any instance: finds the leader and retries safely."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from persimmonusher_agreement.configuration_objects import Change, ObjectKey, Record, Verdict
from persimmonusher_agreement.log_messages import KeeperId
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.configuration_sources import ConfigurationSources
from persimmonusher_node.keeper_calls import CALL_ERRORS, KeeperReport, decode_report
from persimmonusher_node.keeper_wire import (
    KINDS_TO_WIRE,
    decode_record,
    decode_verdict,
    encode_change,
)
from persimmonusher_node.peers import ChannelPool
from persimmonusher_protocol import keeper_pb2 as pb
from persimmonusher_protocol.keeper_grpc import KeeperStub

T = TypeVar("T")

ANSWER_TIMEOUT_SECONDS: Final = 10.0
"""Time that an operator waits for a leader: enough for several elections."""

CALL_TIMEOUT_SECONDS: Final = 4.0
"""Timeout of a call to one keeper; a keeper itself stops waiting for a change after 3 s."""

RETRY_PAUSE_SECONDS: Final = 0.1

NO_KEEPER: Final = "no keeper"
"""Role reported for an instance that doesn't serve the Keeper interface, such as a seed."""


class KeeperAccess:
    """Calls to the keepers.

    Calls that need a leader raise UsherError with NO_QUORUM when none answered in time. The outcome
    of a change is then unknown: resend it with the same change id.
    """

    def __init__(self, sources: ConfigurationSources, channels: ChannelPool, clock: Clock) -> None:
        self._sources = sources
        self._channels = channels
        self._clock = clock
        self._leader_address = ""

    async def propose(self, change: Change, timeout: float = ANSWER_TIMEOUT_SECONDS) -> Verdict:
        """Return the verdict on a change; safe to repeat with the same change id."""

        async def ask(stub: KeeperStub) -> Verdict | None:
            reply = await stub.Propose(encode_change(change), timeout=CALL_TIMEOUT_SECONDS)
            if reply.WhichOneof("reply") == "verdict":
                return decode_verdict(reply.verdict)
            self._leader_address = reply.leader_address
            return None

        return await self._ask_leader(ask, f"change {change.change_id}", timeout)

    async def confirm(self, timeout: float = ANSWER_TIMEOUT_SECONDS) -> Revision:
        """Return a revision that holds every change accepted before the call."""

        async def ask(stub: KeeperStub) -> Revision | None:
            reply = await stub.Confirm(pb.ConfirmRequest(), timeout=CALL_TIMEOUT_SECONDS)
            self._leader_address = reply.leader_address
            return Revision(reply.revision) if reply.HasField("revision") else None

        return await self._ask_leader(ask, "the latest revision", timeout)

    async def read_history(
        self, key: ObjectKey, timeout: float = ANSWER_TIMEOUT_SECONDS
    ) -> tuple[Record, ...]:
        """Return the object's kept records, oldest first, from the first keeper that answers."""
        request = pb.HistoryRequest(kind=KINDS_TO_WIRE[key.kind], name=key.name)

        async def ask(stub: KeeperStub) -> tuple[Record, ...] | None:
            reply = await stub.ReadHistory(request, timeout=CALL_TIMEOUT_SECONDS)
            return tuple(map(decode_record, reply.records))

        return await self._ask_leader(ask, f"the history of {key.name!r}", timeout)

    async def dismiss(self, keeper: KeeperId, timeout: float = ANSWER_TIMEOUT_SECONDS) -> None:
        """Remove a keeper permanently; raise UsherError with BAD_REQUEST if that is refused."""

        async def ask(stub: KeeperStub) -> str | None:
            request = pb.DismissRequest(keeper=keeper)
            reply = await stub.Dismiss(request, timeout=CALL_TIMEOUT_SECONDS)
            self._leader_address = reply.leader_address
            return None if reply.not_leader else reply.refusal

        refusal = await self._ask_leader(ask, f"the removal of {keeper}", timeout)
        if refusal:
            raise UsherError(ErrorCode.BAD_REQUEST, refusal)

    async def list_keepers(self) -> tuple[KeeperReport, ...]:
        """Ask every known keeper for its state; one that doesn't answer is reported as such."""
        reports = await asyncio.gather(*map(self.ask_state, self._sources.keepers))
        return tuple(report for report in reports if report.role != NO_KEEPER)

    async def ask_state(self, address: str) -> KeeperReport:
        """Ask one instance for its state as a keeper."""
        stub = KeeperStub(self._channels.get(address))
        try:
            state = await stub.Introduce(pb.IntroduceRequest(), timeout=1.0)
        except CALL_ERRORS as error:
            if isinstance(error, GRPCError) and error.status is Status.UNIMPLEMENTED:
                return decode_report(address, pb.KeeperState(role=NO_KEEPER, failure=NO_KEEPER))
            return KeeperReport.unreachable(address, str(error) or type(error).__name__)
        self._sources.learn_keepers([member.address for member in state.members.members])
        return decode_report(address, state)

    async def _ask_leader(
        self, ask: Callable[[KeeperStub], Awaitable[T | None]], description: str, timeout: float
    ) -> T:
        """Ask one keeper after the other, the named leader first, until one answers.

        Repeating a call is safe because a change carries its id: a keeper that decided it before
        returns the same verdict again.
        """
        deadline = self._clock.monotonic() + timeout
        failures: dict[str, str] = {}
        while self._clock.monotonic() < deadline:
            for address in self._order_keepers():
                try:
                    answer = await ask(KeeperStub(self._channels.get(address)))
                except CALL_ERRORS as error:
                    failures[address] = str(error) or type(error).__name__
                    continue
                if answer is not None:
                    self._leader_address = address
                    return answer
                failures[address] = "does not lead"
                if self._leader_address not in ("", address):
                    break
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        tried = "; ".join(f"{address}: {text}" for address, text in failures.items())
        message = (
            f"no leader of the keepers answered for {description} within {timeout} s ({tried})"
        )
        raise UsherError(ErrorCode.NO_QUORUM, message)

    def _order_keepers(self) -> list[str]:
        """List the keepers to ask, first the leader that was named or that answered last.

        So a keeper that hangs, and would cost a whole call's timeout, isn't asked while the same
        leader answers.
        """
        first, self._leader_address = self._leader_address, ""
        return list(dict.fromkeys(filter(None, (first, *self._sources.keepers))))
