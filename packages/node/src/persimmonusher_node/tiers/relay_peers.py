"""Learns from the keepers which other entries relay connections to backend servers."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import structlog

from persimmonusher_decisions.relay_choice import RelayChoice, RelayPeer
from persimmonusher_model.identifiers import FailureDomain
from persimmonusher_node.component import Component
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_protocol import control_pb2
from persimmonusher_protocol.control_grpc import ControlStub

logger = structlog.get_logger(__name__)

PEERS_PER_KEEPER: Final = 6
"""Entries that one keeper names, at random, of those that follow it."""
MAX_KEEPERS: Final = 4
"""Keepers that are asked: those who follow them are in different failure domains."""
REFRESH_SECONDS: Final = 30.0
"""Mean time between two rounds: entries come and go more seldom."""
FIRST_REFRESH_SECONDS: Final = 2.0
"""The same after the first one, doubled with each: when all entries start, the first keepers that
are asked have few followers. Also the shortest time between two rounds."""
CALL_TIMEOUT_SECONDS: Final = 1.0


class RelayPeers(Component):
    """Asks keepers in the background, so that the entries are known before they are needed."""

    def __init__(
        self,
        own_address: str,
        choice: RelayChoice,
        list_keepers: Callable[[], Sequence[str]],
        channels: ChannelPool,
        random: Random,
    ) -> None:
        self._own_address = own_address
        self._choice = choice
        self._list_keepers = list_keepers
        self._channels = channels
        self._random = random
        self._is_needed = asyncio.Event()
        self.needs_peers: Callable[[], bool] = bool
        """Returns whether the peer interfaces are wanted too; set by the daemon."""
        self.peers: tuple[str, ...] = ()
        """Peer interfaces of the entries that the keepers named last, if they were wanted."""
        self._named_peers: list[str] = []
        """Those of the round in progress."""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to ask in the background."""
        self._task = start_coroutine(self._run())

    def stop(self) -> None:
        """End the questions."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def refresh_soon(self) -> None:
        """Ask again soon, because none of the known entries could help."""
        self._is_needed.set()

    async def _run(self) -> None:
        interval = FIRST_REFRESH_SECONDS
        while True:
            try:
                await self._refresh()
            except Exception:
                logger.exception("relays-unknown")
            self._is_needed.clear()
            await asyncio.sleep(FIRST_REFRESH_SECONDS * self._random.uniform(0.5, 1.5))
            with contextlib.suppress(TimeoutError):
                wait = (interval - FIRST_REFRESH_SECONDS) * self._random.uniform(0.5, 1.5)
                await asyncio.wait_for(self._is_needed.wait(), wait)
            interval = min(REFRESH_SECONDS, 2.0 * interval)

    async def _refresh(self) -> None:
        """Ask some keepers; keep the former entries if none answers."""
        keepers = list(self._list_keepers())
        asked = self._random.sample(keepers, min(MAX_KEEPERS, len(keepers)))
        self._named_peers = []
        answers = await asyncio.gather(*map(self._ask, asked))
        peers = {peer.address: peer for answer in answers for peer in answer}
        peers.pop(self._own_address, None)
        if peers:
            self._choice.replace(list(peers.values()))
            self.peers = tuple(self._named_peers)

    async def _ask(self, keeper: str) -> Sequence[RelayPeer]:
        request = control_pb2.RelayListRequest(
            count=PEERS_PER_KEEPER, with_peers=self.needs_peers()
        )
        try:
            stub = ControlStub(self._channels.get(keeper))
            reply = await stub.ListRelays(request, timeout=CALL_TIMEOUT_SECONDS)
        except CALL_ERRORS as error:
            logger.debug("relays-not-listed", keeper=keeper, error=repr(error))
            return ()
        self._named_peers += [relay.peer for relay in reply.relays if relay.peer]
        return [
            RelayPeer(relay.address, FailureDomain(relay.failure_domain)) for relay in reply.relays
        ]
