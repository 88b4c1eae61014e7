"""Key claims over gRPC: this instance's register, and claims at the registers of others.

Answers of more than `MAX_KEPT_ANSWER_BYTES` are not kept. The answer to a resend then says that
the request ran and that its answer is gone; the caller resolves this by a lookup.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Final

import structlog
import xxhash
from grpclib._typing import IServable
from grpclib.server import Stream

from persimmonusher_agreement.claims import (
    ClaimRecord,
    ClaimRequest,
    ClaimRound,
    RecordState,
    RoundStatus,
    Settlement,
    ShareAnswer,
    Vote,
)
from persimmonusher_agreement.register import Register
from persimmonusher_agreement.roster import Roster
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import InstanceId
from persimmonusher_node import claims_wire as wire
from persimmonusher_node.claims_link import CALL_FAILURES, ClaimsLink
from persimmonusher_node.component import Component
from persimmonusher_node.loop import run_coroutine, start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import (
    ClaimKey,
    ClaimResult,
    ClaimStatus,
    KeyClaims,
    Membership,
    StoredAnswer,
)
from persimmonusher_protocol import claims_pb2 as pb
from persimmonusher_protocol.claims_grpc import ClaimsBase, ClaimsStub

log = structlog.get_logger(__name__)

CALL_TIMEOUT_SECONDS: Final = 0.25
"""Longest wait for one register, about 50 round trips. A slower register counts as missing, and
the four others decide."""
MAX_CLAIM_ROUNDS: Final = 4
"""Rounds of voting for one claim. Two callers that resend at the same moment can split the votes.
Each then releases its grants and starts another round after a random pause. It is rare that all
four rounds fail."""
ROUND_PAUSE_SECONDS: Final = 0.02
"""Mean pause before the second round, several round trips long; it grows with each round."""
MAX_SETTLE_ATTEMPTS: Final = 5
SETTLE_RETRY_SECONDS: Final = 0.2
SHARE_PAUSE_SECONDS: Final = 0.5
"""Interval at which a restarted register reads its peers' records and every register checks for a
newer roster."""
SHARE_TIMEOUT_SECONDS: Final = 5.0
MAX_KEPT_ANSWER_BYTES: Final = 65_536
"""Largest answer that is kept; each is stored on all five registers of its key."""
TOKEN_BITS: Final = 96
"""Random bits of a token; two tokens must never be equal, also over restarts."""
MAX_UNSETTLED_GRANTS: Final = 100_000
"""Bound on this instance's grants that are not settled yet, above the number of requests that it
can have in flight."""


@dataclass(frozen=True)
class _Grant:
    """A key granted to this instance, with what is needed to settle it later."""

    token: str
    digest: str
    registers: frozenset[InstanceId]


class RegisterService(ClaimsBase):
    """Serves this instance's register to its peers."""

    def __init__(self, register: Register, clock: Clock) -> None:
        self._register = register
        self._clock = clock

    async def Exchange(self, stream: Stream[pb.Asked, pb.Answered]) -> None:  # noqa: N802
        """Answer claims and settlements until the peer ends the stream."""
        async for message in stream:
            await stream.send_message(self._answer(message))

    def _answer(self, message: pb.Asked) -> pb.Answered:
        now = self._clock.monotonic()
        answered = pb.Answered()
        for claim in message.claims:
            vote = self._register.claim(wire.read_request(claim.request), now)
            answered.votes.add(number=claim.number, vote=wire.write_vote(vote))
        for settle in message.settlements:
            self._register.settle(wire.read_settlement(settle.settlement), now)
            answered.settled.append(settle.number)
        return answered

    async def ReadShare(  # noqa: N802
        self, stream: Stream[pb.ShareRequest, pb.ShareAnswer]
    ) -> None:
        """Send a restarted register the records that it shares with this one."""
        message = await stream.recv_message()
        assert message is not None
        request = wire.read_share_request(message)
        answer = self._register.export_share(request, self._clock.monotonic())
        await stream.send_message(wire.write_share_answer(answer))

    async def Describe(  # noqa: N802
        self, stream: Stream[pb.DescribeRequest, pb.RegisterState]
    ) -> None:
        """Send the boot number and the roster version of the register."""
        await stream.recv_message()
        roster = self._register.roster
        version = roster.version if roster is not None else 0
        state = pb.RegisterState(boot=self._register.boot, roster_version=version)
        await stream.send_message(state)


class PeerClaims(Component, KeyClaims):
    """Claims keys at the registers that the committed roster names.

    `find_roster` returns the roster in force here, or None before the first; `boot` is a number
    that rises with each start of this instance. No record is kept for longer than
    `longest_window` seconds, the same for the whole fleet.
    """

    def __init__(
        self,
        instance: InstanceId,
        boot: int,
        clock: Clock,
        channels: ChannelPool,
        membership: Membership,
        find_roster: Callable[[], Roster | None],
        longest_window: float,
        random: Random,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._channels = channels
        self._membership = membership
        self._find_roster = find_roster
        self._longest_window = longest_window
        self._random = random
        self.register = Register(instance, boot, longest_window, clock.monotonic())
        self._grants: dict[ClaimKey, _Grant] = {}
        self._links: dict[str, ClaimsLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def list_peer_handlers(self) -> tuple[IServable, ...]:
        """Return the register's gRPC service."""
        return (RegisterService(self.register, self._clock),)

    def start(self) -> None:
        """Start to follow the roster and to read back the records that a restart lost."""
        self._hold_task(start_coroutine(self._follow_roster()))
        self._hold_task(start_coroutine(self._read_share()))

    def stop(self) -> None:
        """Cancel background work; unsettled claims end as unknown outcomes at the registers."""
        for task in list(self._tasks):
            task.cancel()
        for link in self._links.values():
            link.close()

    def claim(
        self,
        key: ClaimKey,
        fingerprint: str,
        window_seconds: float,
        pending_seconds: float,
    ) -> ClaimResult:
        """Claim the key for one dispatch; waits for a majority of the key's registers."""
        return run_coroutine(self._claim(key, fingerprint, window_seconds, pending_seconds))

    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Store the answer at the registers in the background, so that the caller needn't wait.

        If this instance crashes first, the answer to a resend says that the outcome is unknown.
        """
        encoded = wire.encode_answer(answer)
        if len(encoded) > MAX_KEPT_ANSWER_BYTES:
            encoded = b""
        self._settle(key, RecordState.FINISHED, encoded)

    def release(self, key: ClaimKey) -> None:
        """Release the key at the registers in the background."""
        self._settle(key, None)

    def record_unknown(self, key: ClaimKey) -> None:
        """Record an unknown outcome at the registers in the background."""
        self._settle(key, RecordState.UNKNOWN)

    async def _claim(
        self, key: ClaimKey, fingerprint: str, window: float, pending: float
    ) -> ClaimResult:
        digest = digest_key(key)
        result = ClaimResult(ClaimStatus.NO_QUORUM)
        for number in range(MAX_CLAIM_ROUNDS):
            if number:
                await asyncio.sleep(self._random.uniform(0, 2 * ROUND_PAUSE_SECONDS * number))
            roster = self._refresh_roster()
            if roster is None:
                return result
            token = f"{self._instance}:{self._random.getrandbits(TOKEN_BITS):x}"
            expires_in = min(window + pending, self._longest_window)
            request = ClaimRequest(digest, token, fingerprint, roster.version, expires_in, pending)
            claim_round = ClaimRound(request, roster)
            status = await self._collect_votes(claim_round)
            if status is RoundStatus.GRANTED:
                self._add_grant(key, _Grant(token, digest, claim_round.registers))
                return ClaimResult(ClaimStatus.GRANTED)
            settlement = Settlement(digest, token, None)
            self._hold_task(
                start_coroutine(self._send_settlement(settlement, claim_round.registers))
            )
            result = self._interpret_record(claim_round.find_record(), fingerprint)
            if result.status not in (ClaimStatus.NO_QUORUM, ClaimStatus.RUNNING):
                return result
        return result

    def _interpret_record(self, record: ClaimRecord | None, fingerprint: str) -> ClaimResult:
        if record is None:
            return ClaimResult(ClaimStatus.NO_QUORUM)
        if record.fingerprint != fingerprint:
            return ClaimResult(ClaimStatus.MISMATCH)
        if record.state is RecordState.PENDING:
            return ClaimResult(ClaimStatus.RUNNING)
        if record.state is RecordState.UNKNOWN:
            return ClaimResult(ClaimStatus.UNKNOWN)
        answer = wire.decode_answer(record.answer) if record.answer else None
        return ClaimResult(ClaimStatus.FINISHED, answer)

    async def _collect_votes(self, claim_round: ClaimRound) -> RoundStatus:
        addresses = self._find_addresses()
        calls = {
            asyncio.ensure_future(
                self._claim_register(register, addresses, claim_round.request)
            ): register
            for register in claim_round.registers
        }
        status = claim_round.status
        pending = set(calls)
        while pending and status is RoundStatus.OPEN:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                vote = call.result()
                if vote is None:
                    status = claim_round.miss(calls[call])
                else:
                    status = claim_round.receive(vote)
        # The remaining calls go on: a register that records the claim late can still answer a
        # resend with its outcome.
        for call in pending:
            self._hold_task(call)
        return status

    async def _claim_register(
        self, register: InstanceId, addresses: Mapping[InstanceId, str], request: ClaimRequest
    ) -> Vote | None:
        if register == self._instance:
            return self.register.claim(request, self._clock.monotonic())
        address = addresses.get(register)
        if address is None:
            return None
        return await self._find_link(address).claim(request, CALL_TIMEOUT_SECONDS)

    def _settle(self, key: ClaimKey, state: RecordState | None, answer: bytes = b"") -> None:
        grant = self._grants.pop(key, None)
        if grant is None:
            return
        settlement = Settlement(grant.digest, grant.token, state, answer)
        self._hold_task(start_coroutine(self._send_settlement(settlement, grant.registers)))

    async def _send_settlement(
        self, settlement: Settlement, registers: frozenset[InstanceId]
    ) -> None:
        waiting = set(registers)
        for _ in range(MAX_SETTLE_ATTEMPTS):
            addresses = self._find_addresses()
            settled_registers = await asyncio.gather(
                *(self._settle_register(register, addresses, settlement) for register in waiting)
            )
            waiting -= {register for register in settled_registers if register is not None}
            if not waiting:
                return
            await asyncio.sleep(SETTLE_RETRY_SECONDS)
        log.info("claims.settlement-incomplete", token=settlement.token, missing=sorted(waiting))

    async def _settle_register(
        self, register: InstanceId, addresses: Mapping[InstanceId, str], settlement: Settlement
    ) -> InstanceId | None:
        if register == self._instance:
            self.register.settle(settlement, self._clock.monotonic())
            return register
        address = addresses.get(register)
        if address is None:
            return None
        is_settled = await self._find_link(address).settle(settlement, CALL_TIMEOUT_SECONDS)
        return register if is_settled else None

    def _find_link(self, address: str) -> ClaimsLink:
        link = self._links.get(address)
        if link is None:
            link = ClaimsLink(lambda: self._channels.get(address))
            self._links[address] = link
        return link

    async def _follow_roster(self) -> None:
        # A register must know the roster even where its own instance has no keyed requests: it
        # abstains from peers' claims under a version that it does not know, and the keepers' leader
        # waits until enough registers report the newest version.
        while True:
            self._refresh_roster()
            await asyncio.sleep(SHARE_PAUSE_SECONDS)

    async def _read_share(self) -> None:
        while True:
            now = self._clock.monotonic()
            if self.register.roster is not None and self.register.has_all_records(now):
                return
            addresses = self._find_addresses()
            unread = [name for name in self.register.list_unread_peers() if name in addresses]
            answers = await asyncio.gather(
                *(self._read_peer_share(addresses[name]) for name in unread)
            )
            for answer in answers:
                if answer is not None:
                    self.register.import_share(answer, self._clock.monotonic())
            await asyncio.sleep(SHARE_PAUSE_SECONDS)

    async def _read_peer_share(self, address: str) -> ShareAnswer | None:
        stub = ClaimsStub(self._channels.get(address))
        request = wire.write_share_request(self.register.make_share_request())
        try:
            message = await stub.ReadShare(request, timeout=SHARE_TIMEOUT_SECONDS)
        except CALL_FAILURES:
            return None
        return wire.read_share_answer(message)

    def _refresh_roster(self) -> Roster | None:
        roster = self._find_roster()
        if roster is not None:
            self.register.replace_roster(roster)
        return self.register.roster

    def _find_addresses(self) -> dict[InstanceId, str]:
        return {live.instance_id: live.peer_address for live in self._membership.list_live()}

    def _add_grant(self, key: ClaimKey, grant: _Grant) -> None:
        if len(self._grants) >= MAX_UNSETTLED_GRANTS:
            oldest = next(iter(self._grants))
            del self._grants[oldest]
        self._grants[key] = grant

    def _hold_task(self, task: "asyncio.Task[None] | asyncio.Future[Vote | None]") -> None:
        # The loop has only weak references to tasks: without a strong one, a task may be garbage
        # collected before it ends.
        retained: set[object] = self._tasks  # type: ignore[assignment]
        retained.add(task)
        task.add_done_callback(retained.discard)


def digest_key(key: ClaimKey) -> str:
    """Return a 128-bit digest of a key; registers store this much for a key of any length."""
    text = f"{key.service}\x00{key.caller}\x00{key.key}"
    return xxhash.xxh3_128_hexdigest(text.encode())
