"""The task by which a keeper that isn't a member forms the log or asks to join it."""

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

import structlog

from persimmonusher_agreement.configuration_keeper import ConfigurationKeeper
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.keeper_formation import KeeperFormation, Step
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.settings import Settings
from persimmonusher_protocol import keeper_pb2 as pb
from persimmonusher_protocol.keeper_grpc import KeeperStub

if TYPE_CHECKING:
    from persimmonusher_node.keeper import KeeperRole

logger = structlog.get_logger(__name__)

FORMATION_INTERVAL_SECONDS: Final = 0.3
"""Time between checks whether this keeper has to form or join a log."""
JOIN_TIMEOUT_SECONDS: Final = 1.0
LEADERLESS_SECONDS: Final = 3.0
"""A keeper without messages from a leader for this long asks the others whether it is still a
member; longer than an election, so that it doesn't ask during one."""


class KeeperJoining:
    """Asks the other keepers to admit this one while it isn't a member."""

    def __init__(
        self,
        role: "KeeperRole",
        settings: Settings,
        channels: ChannelPool,
        clock: Clock,
        client: ConfigurationClient,
        formation: KeeperFormation,
    ) -> None:
        self._role = role
        self._settings = settings
        self._channels = channels
        self._clock = clock
        self._client = client
        self._formation = formation

    async def run(self) -> None:
        """Check at intervals whether this keeper has to form or join a log, until cancelled."""
        while True:
            try:
                if self._needs_membership():
                    await self._take_step()
            except UsherError as error:
                logger.error("formation-failed", error=str(error))
            await asyncio.sleep(FORMATION_INTERVAL_SECONDS)

    def _needs_membership(self) -> bool:
        """Return whether this keeper holds no log, or no leader of its log sends it messages.

        Guards against a voter that was replaced while it was frozen or cut off: nobody writes to
        it any more, and its own log still names it a voter. It asks the others for their members,
        and if they don't include it, asks to join.
        """
        if not self._role.is_open:
            return False
        if is_empty(self._role.keeper):
            return True
        if not self._formation.asks_again:
            return False
        return (
            self._role.keeper.replica.find_leader_silence(self._clock.monotonic())
            > LEADERLESS_SECONDS
        )

    async def _take_step(self) -> None:
        identity = self._role.identity
        ask = self._client.keepers.ask_state
        members = self._role.keeper.replica.log.members.members
        known = [member.address for member in members if member.keeper != identity]
        addresses = dict.fromkeys((*self._formation.list_addresses(), *known))
        reports = await asyncio.gather(*map(ask, addresses))
        if not self._needs_membership():
            return
        others = [report for report in reports if report.keeper != identity]
        asked = reports if is_empty(self._role.keeper) else others
        now = self._clock.monotonic()
        formation = self._formation.plan(identity, asked, self._client.revision(), now)
        if formation.step is Step.JOIN:
            await self._ask_to_join(formation.addresses)
        if formation.members is not None and self._role.identity == identity:
            self._role.form_log(formation.members)

    async def _ask_to_join(self, addresses: Sequence[str]) -> None:
        """Ask all members together, since any of them may lead and any may be silent."""
        request = pb.IntroduceRequest(
            keeper=self._role.identity,
            address=self._settings.listen.peers,
            join=True,
            promote=True,
            failure_domain=self._settings.failure_domain,
        )
        await asyncio.gather(*(self._ask_member(address, request) for address in addresses))

    async def _ask_member(self, address: str, request: pb.IntroduceRequest) -> None:
        try:
            stub = KeeperStub(self._channels.get(address))
            await stub.Introduce(request, timeout=JOIN_TIMEOUT_SECONDS)
        except CALL_ERRORS as error:
            logger.debug("join-call-failed", address=address, error=repr(error))


def is_empty(keeper: ConfigurationKeeper) -> bool:
    """Return whether a keeper holds no log."""
    return not keeper.replica.log.members.members
