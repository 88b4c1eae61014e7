"""Reads the committed roster; on the keepers' leader, proposes the next one."""

import asyncio
import uuid
from collections.abc import Callable, Sequence
from typing import Final

import structlog
from grpclib.exceptions import GRPCError, StreamTerminatedError

from persimmonusher_agreement.configuration_objects import Change, ObjectKey, ObjectKind, Record
from persimmonusher_agreement.roster import Member, Observation, Roster, RosterPlanner
from persimmonusher_agreement.roster_document import ROSTER_NAME, decode_roster, encode_roster
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.component import Component
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import Instance, Membership
from persimmonusher_protocol import claims_pb2 as pb
from persimmonusher_protocol.claims_grpc import ClaimsStub

log = structlog.get_logger(__name__)

ROSTER_KEY: Final = ObjectKey(ObjectKind.ROSTER, ROSTER_NAME)
OPERATOR: Final = "persimmonusher"
"""Operator name in changes that the system proposes itself."""
PLAN_INTERVAL_SECONDS: Final = 1.0
CALL_TIMEOUT_SECONDS: Final = 0.5
MAX_CONCURRENT_CALLS: Final = 64
_CALL_FAILURES: Final = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)
SETTLE_SECONDS: Final = 3.0
"""Time for which the live instances must stay the same before they become the roster, so that the
start or restart of a fleet makes one version and not one for each instance."""


class RosterReader:
    """Reads the roster in force, and decodes each version only once."""

    def __init__(self, configuration: ConfigurationClient) -> None:
        self._configuration = configuration
        self._record: Record | None = None
        self._roster: Roster | None = None

    def find(self) -> Roster | None:
        """Return the roster in force here, or None before the first one."""
        record = self._configuration.find_record(ROSTER_KEY)
        if record is not self._record:
            self._record = record
            body = record.body if record is not None else None
            self._roster = decode_roster(body) if body is not None else None
        return self._roster

    @property
    def revision(self) -> Revision:
        """Return the configuration revision of the roster's record; 0 before the first roster."""
        self.find()
        return self._record.revision if self._record is not None else Revision(0)


class RosterKeeper(Component):
    """Proposes the next roster; runs on every keeper and acts only on the leader.

    It reads the boot and roster version of every live instance's register, but only while the live
    instances differ from the roster, so that a fleet without changes costs nothing.
    """

    def __init__(
        self,
        configuration: ConfigurationClient,
        reader: RosterReader,
        is_leader: Callable[[], bool],
        membership: Membership,
        channels: ChannelPool,
        planner: RosterPlanner,
        longest_window: float,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._reader = reader
        self._is_leader = is_leader
        self._membership = membership
        self._channels = channels
        self._planner = planner
        self._longest_window = longest_window
        self._clock = clock
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to plan periodically."""
        self._task = start_coroutine(self._run())

    def stop(self) -> None:
        """End planning; the next leader starts its own waiting times."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            if not self._is_leader():
                continue
            roster = self._reader.find()
            live = self._membership.list_live()
            if roster is not None and _lists_all(roster, live):
                continue
            observations = await self._observe(live)
            now = self._clock.monotonic()
            planned = self._planner.plan(roster, observations, self._longest_window, now)
            if planned is not None:
                await self._propose(planned)

    async def _observe(self, live: Sequence[Instance]) -> list[Observation]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        answers = await asyncio.gather(
            *(self._read_register_state(instance, semaphore) for instance in live)
        )
        return [answer for answer in answers if answer is not None]

    async def _read_register_state(
        self, instance: Instance, semaphore: asyncio.Semaphore
    ) -> Observation | None:
        stub = ClaimsStub(self._channels.get(instance.peer_address))
        async with semaphore:
            try:
                state = await stub.Describe(pb.DescribeRequest(), timeout=CALL_TIMEOUT_SECONDS)
            except _CALL_FAILURES:
                return None
        member = Member(instance.instance_id, instance.failure_domain, state.boot)
        return Observation(member, state.roster_version)

    async def _propose(self, roster: Roster) -> None:
        change = Change(
            change_id=f"roster-{uuid.uuid4().hex}",
            operator=OPERATOR,
            key=ROSTER_KEY,
            based_on=self._reader.revision,
            body=encode_roster(roster),
        )
        try:
            verdict = await self._configuration.propose(change)
        except UsherError as error:
            log.info("roster.not-proposed", version=roster.version, code=error.code.value)
            return
        outcome = type(verdict).__name__
        members = len(roster.members)
        log.info("roster.proposed", version=roster.version, members=members, outcome=outcome)


def _lists_all(roster: Roster, live: Sequence[Instance]) -> bool:
    return {member.instance_id for member in roster.members} == {one.instance_id for one in live}
