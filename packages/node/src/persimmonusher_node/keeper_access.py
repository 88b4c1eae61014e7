"""What operators ask of the keepers, from any instance: it finds the leader and retries safely."""

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

ANSWER_SECONDS: Final = 10.0
"""Time that an operator waits for a leader: several elections."""

CALL_SECONDS: Final = 4.0
"""Time for one keeper's answer; a keeper itself gives up on a change after three."""

RETRY_SECONDS: Final = 0.1

NO_KEEPER: Final = "no keeper"
"""The role of an instance that serves no Keeper interface, such as a seed."""


class KeeperAccess:
    """Calls to the keepers.

    Every method is a coroutine and raises UsherError with NO_QUORUM when no leader answered in
    time. For a change that means that its outcome is unknown: resend the same change id.
    """

    def __init__(self, sources: ConfigurationSources, channels: ChannelPool, clock: Clock) -> None:
        self._sources = sources
        self._channels = channels
        self._clock = clock
        self._leader_address = ""

    async def propose(self, change: Change, timeout: float = ANSWER_SECONDS) -> Verdict:
        """Have a change decided; safe to repeat with the same change id."""

        async def ask(stub: KeeperStub) -> Verdict | None:
            reply = await stub.Propose(encode_change(change), timeout=CALL_SECONDS)
            if reply.WhichOneof("reply") == "verdict":
                return decode_verdict(reply.verdict)
            self._leader_address = reply.leader_address
            return None

        return await self._ask_leader(ask, f"change {change.change_id}", timeout)

    async def confirm(self, timeout: float = ANSWER_SECONDS) -> Revision:
        """Return a revision that holds every change accepted before the call."""

        async def ask(stub: KeeperStub) -> Revision | None:
            reply = await stub.Confirm(pb.ConfirmRequest(), timeout=CALL_SECONDS)
            self._leader_address = reply.leader_address
            return Revision(reply.revision) if reply.HasField("revision") else None

        return await self._ask_leader(ask, "the latest revision", timeout)

    async def read_history(
        self, key: ObjectKey, timeout: float = ANSWER_SECONDS
    ) -> tuple[Record, ...]:
        """Return the object's kept records, oldest first, from the first keeper that answers."""
        request = pb.HistoryRequest(kind=KINDS_TO_WIRE[key.kind], name=key.name)

        async def ask(stub: KeeperStub) -> tuple[Record, ...] | None:
            reply = await stub.ReadHistory(request, timeout=CALL_SECONDS)
            return tuple(map(decode_record, reply.records))

        return await self._ask_leader(ask, f"the history of {key.name!r}", timeout)

    async def dismiss(self, keeper: KeeperId, timeout: float = ANSWER_SECONDS) -> None:
        """Remove a keeper for good; raise UsherError with BAD_REQUEST when that is refused."""

        async def ask(stub: KeeperStub) -> str | None:
            request = pb.DismissRequest(keeper=keeper)
            reply = await stub.Dismiss(request, timeout=CALL_SECONDS)
            self._leader_address = reply.leader_address
            return None if reply.not_leader else reply.refusal

        refusal = await self._ask_leader(ask, f"the removal of {keeper}", timeout)
        if refusal:
            raise UsherError(ErrorCode.BAD_REQUEST, refusal)

    async def list_keepers(self) -> tuple[KeeperReport, ...]:
        """Ask every known keeper for its state; one that doesn't answer is reported so."""
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
        self, ask: Callable[[KeeperStub], Awaitable[T | None]], wish: str, timeout: float
    ) -> T:
        """Ask keeper after keeper, the one named as leader first, until one decides.

        The whole is safe to repeat because a change carries its id: a keeper that decided it
        before gives the same verdict again.
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
            await asyncio.sleep(RETRY_SECONDS)
        tried = "; ".join(f"{address}: {text}" for address, text in failures.items())
        message = f"no leader of the keepers answered for {wish} within {timeout} s ({tried})"
        raise UsherError(ErrorCode.NO_QUORUM, message)

    def _order_keepers(self) -> list[str]:
        """List the keepers to ask, the leader that was named or that answered last first.

        So a keeper that hangs, and costs a whole call's time, is passed by while the leader stays.
        """
        first, self._leader_address = self._leader_address, ""
        return list(dict.fromkeys(filter(None, (first, *self._sources.keepers))))
