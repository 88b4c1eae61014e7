"""How a keeper without a place in a log finds one: it forms the log, or asks to join."""

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

FORMATION_SECONDS: Final = 0.3
"""Time between a keeper's questions while it holds no log."""
JOIN_SECONDS: Final = 1.0
LONELY_SECONDS: Final = 3.0
"""A keeper that has heard no leader for this long asks the others whether it still has its place;
longer than an election, so that it doesn't ask while one is held."""


class KeeperJoining:
    """Asks the other keepers for a place while this one has none."""

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
        """Look again and again whether this keeper needs a place, until cancelled."""
        while True:
            try:
                if self._needs_place():
                    await self._take_step()
            except UsherError as error:
                logger.error("formation-failed", error=str(error))
            await asyncio.sleep(FORMATION_SECONDS)

    def _needs_place(self) -> bool:
        """Tell whether this keeper holds no log, or hears nobody who leads the one it holds.

        Guards against a voter that was replaced while it was frozen or cut off: nobody writes to
        it any more, and its own log still names it a voter. It asks the others, and where their
        members don't name it, for a place.
        """
        if not self._role.is_open:
            return False
        if is_empty(self._role.keeper):
            return True
        if not self._formation.asks_again:
            return False
        return self._role.keeper.replica.find_silence(self._clock.monotonic()) > LONELY_SECONDS

    async def _take_step(self) -> None:
        identity = self._role.identity
        ask = self._client.keepers.ask_state
        members = self._role.keeper.replica.log.members.members
        known = [member.address for member in members if member.keeper != identity]
        addresses = dict.fromkeys((*self._formation.list_addresses(), *known))
        reports = await asyncio.gather(*map(ask, addresses))
        if not self._needs_place():
            return
        others = [report for report in reports if report.keeper != identity]
        asked = reports if is_empty(self._role.keeper) else others
        now = self._clock.monotonic()
        formation = self._formation.plan(identity, asked, self._client.revision(), now)
        if formation.step is Step.JOIN:
            await self._ask_to_join(formation.addresses)
        if formation.members is not None and self._role.identity == identity:
            self._role.form(formation.members)

    async def _ask_to_join(self, addresses: Sequence[str]) -> None:
        request = pb.IntroduceRequest(
            keeper=self._role.identity,
            address=self._settings.listen.peers,
            join=True,
            promote=True,
            failure_domain=self._settings.failure_domain,
        )
        for address in addresses:
            try:
                stub = KeeperStub(self._channels.get(address))
                await stub.Introduce(request, timeout=JOIN_SECONDS)
            except CALL_ERRORS as error:
                logger.debug("keeper-not-asked", address=address, error=repr(error))


def is_empty(keeper: ConfigurationKeeper) -> bool:
    """Tell whether a keeper holds no log."""
    return not keeper.replica.log.members.members
