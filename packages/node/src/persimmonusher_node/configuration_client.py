"""The committed configuration at one instance: pulled, applied, served to peers.

Every instance runs one. It accepts batches from any keeper or peer and only moves to newer
revisions. It therefore works for hours without keepers, and a restarted peer can catch up from it
meanwhile.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any, Final

import structlog
from grpclib._typing import IServable
from grpclib.server import Stream

from persimmonusher_agreement.configuration_objects import (
    Batch,
    Change,
    ObjectKey,
    ObjectKind,
    Record,
    Verdict,
)
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import ProfileName, Revision, ServiceName
from persimmonusher_model.organisations import OrganisationBook
from persimmonusher_model.profile import Profile
from persimmonusher_model.routing import RouteRule
from persimmonusher_node.applied_configuration import AppliedConfiguration
from persimmonusher_node.applied_document import AppliedDocument
from persimmonusher_node.component import Component
from persimmonusher_node.configuration_sources import ConfigurationSources
from persimmonusher_node.keeper_access import KeeperAccess
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.keeper_wire import decode_record, encode_parts
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import ConfigurationView
from persimmonusher_node.registered_servers import RegisteredServers
from persimmonusher_node.settings import Settings
from persimmonusher_protocol import keeper_pb2 as pb
from persimmonusher_protocol.keeper_grpc import ConfigurationBase, ConfigurationStub

logger = structlog.get_logger(__name__)

PULL_INTERVAL_SECONDS: Final = 1.0
"""Mean interval of periodic pulls, which make up for lost announcements."""

FIRST_PULL_INTERVAL_SECONDS: Final = 0.1
"""The same before the first revision: an entry without configuration can't serve any caller."""

PULL_TIMEOUT_SECONDS: Final = 10.0
"""Long enough for a whole batch at the target size of 200,000 routes; an answer without changes
takes milliseconds."""

ANNOUNCE_TIMEOUT_SECONDS: Final = 1.0
ANNOUNCE_FAN_OUT: Final = 3
"""Number of partners notified at once of a new revision. With three, an announcement reaches 2,500
instances within eight hops."""

HELD_PULL_SECONDS: Final = 0.25
"""Time for which an unanswered pull holds back pulls of other announced revisions."""
MAX_CONCURRENT_PULLS: Final = 3
"""More than one, so that a source that hangs doesn't block pulls from another."""


class ConfigurationClient(Component, ConfigurationView):
    """The `ConfigurationView` of an instance, and its Configuration service for peers.

    Constructor: `ConfigurationClient(settings, channels, clock, random, list_peers)`; `list_peers`
    returns the live instances' peer addresses and may be replaced later with `follow_peers`.
    """

    def __init__(
        self,
        settings: Settings,
        channels: ChannelPool,
        clock: Clock,
        random: Random | None = None,
        list_peers: Callable[[], Sequence[str]] = tuple,
        document: AppliedDocument | None = None,
    ) -> None:
        self._own_address = settings.listen.peers
        self._channels = channels
        self._clock = clock
        self._random = random or Random(settings.instance_id)
        first_keepers = [keeper.address for keeper in settings.keepers]
        self._list_peers = list_peers
        self._sources = ConfigurationSources(
            self._own_address,
            [*first_keepers, *settings.seeds],
            self._call_list_peers,
            self._random,
        )
        self.keepers = KeeperAccess(self._sources, channels, clock)
        self._applied = AppliedConfiguration(document)
        self._listeners: list[Callable[[Revision, Sequence[ObjectKey]], None]] = []
        self._announced_revisions: dict[str, Revision] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._pull_started_at: dict[str, float] = {}
        self._loop_task: asyncio.Task[None] | None = None

    # ConfigurationView

    def revision(self) -> Revision:
        """Return the revision in force here; it only ever rises."""
        return self._applied.store.revision

    def is_configured(self) -> bool:
        """Return whether there is a configuration to answer callers with.

        Registered servers alone don't count: they are known before the first route is.
        """
        document = self._applied.document
        return self.revision() > 0 if document is None else document.document is not None

    def find_rule(self, host: str, path: str) -> RouteRule | None:
        """Return the routing document's longest route that matches, or None."""
        document = self._applied.document
        return None if document is None else document.find_rule(host, path)

    @property
    def organisations(self) -> OrganisationBook | None:
        """Return the organisations in force; None where requests carry no API keys."""
        document = self._applied.document
        return None if document is None else document.organisations

    def may_know(self, service: ServiceName) -> bool:
        """Return whether the configuration names the service or may still come to name it."""
        document = self._applied.document
        return document is None or document.may_know(service)

    @property
    def servers(self) -> RegisteredServers:
        """Return the registered backend servers."""
        return self._applied.servers

    def find_service(self, host: str, path: str) -> ServiceName | None:
        """Return the service of the longest route that matches, or None."""
        return self._applied.routes.find(host, path)

    def find_profile(self, service: ServiceName) -> Profile | None:
        """Return the profile that the service runs under, or None for an unknown service."""
        return self._applied.find_profile(service)

    def find_profile_name(self, service: ServiceName) -> ProfileName | None:
        """Return the name of the profile that the service runs under."""
        return self._applied.find_profile_name(service)

    def find_record(self, key: ObjectKey) -> Record | None:
        """Return this instance's record of an object, or None if it is retired or unknown."""
        return self._applied.store.find_live(key)

    def list_records(self, kind: ObjectKind) -> tuple[Record, ...]:
        """List this instance's records of the live objects of a kind, sorted by name."""
        return tuple(sorted(self._applied.store.list_live(kind), key=lambda r: r.key.name))

    async def propose(self, change: Change) -> Verdict:
        """Propose a change to the keepers; safe to repeat with the same change id.

        Raises UsherError with NO_QUORUM if no leader answered; the outcome is then unknown.
        """
        return await self.keepers.propose(change)

    # Updates

    def follow_peers(self, list_peers: Callable[[], Sequence[str]]) -> None:
        """Set the function that lists the live instances' peer addresses."""
        self._list_peers = list_peers

    def on_change(self, listener: Callable[[Revision, Sequence[ObjectKey]], None]) -> None:
        """Call the listener after each applied batch, with the new revision and touched objects."""
        self._listeners.append(listener)

    @property
    def sources(self) -> ConfigurationSources:
        """Return the sources: known keepers, seeds and partners."""
        return self._sources

    def take(self, batch: Batch) -> None:
        """Apply a committed batch from the local keeper or a peer; an old one changes nothing."""
        before = self.revision()
        touched = self._applied.take(batch)
        if self.revision() == before:
            return
        for listener in self._listeners:
            listener(self.revision(), touched)
        self._announce()

    def hear_revision(self, address: str, revision: Revision) -> None:
        """Record the revision of the instance at this peer address; pull from it if it is newer."""
        if revision > self.revision():
            self._announced_revisions[address] = max(
                revision, self._announced_revisions.get(address, revision)
            )
            self._pull_announced()

    def start(self) -> None:
        """Start to pull periodically."""
        self._loop_task = start_coroutine(self._run())

    def stop(self) -> None:
        """Cancel all calls."""
        for task in (self._loop_task, *self._tasks):
            if task is not None:
                task.cancel()
        self._loop_task = None

    def list_peer_handlers(self) -> Sequence[IServable]:
        """Return the Configuration service."""
        return (ConfigurationService(self),)

    def collect_since(self, since: Revision) -> Batch:
        """Return the batch of what a peer at revision `since` lacks."""
        return self._applied.store.collect_since(since)

    def _call_list_peers(self) -> Sequence[str]:
        return self._list_peers()

    async def _run(self) -> None:
        while True:
            address = self._sources.choose(self._clock.monotonic())
            if address is not None:
                self._start_pull(address)
            self._pull_announced()
            mean = PULL_INTERVAL_SECONDS if self.revision() else FIRST_PULL_INTERVAL_SECONDS
            await asyncio.sleep(mean * self._random.uniform(0.5, 1.5))

    def _pull_announced(self) -> None:
        """Pull an announced revision, from one source at a time.

        Right after a change, every partner announces it at once, and a pull from each would fetch
        the same batch several times. A source that hangs delays pulls from others by
        `HELD_PULL_SECONDS` only.
        """
        now = self._clock.monotonic()
        if any(now - started < HELD_PULL_SECONDS for started in self._pull_started_at.values()):
            return
        self._announced_revisions = {
            a: r for a, r in self._announced_revisions.items() if r > self.revision()
        }
        for address in self._announced_revisions:
            if self._start_pull(address):
                del self._announced_revisions[address]
                return

    def _start_pull(self, address: str) -> bool:
        if address in self._pull_started_at or len(self._pull_started_at) >= MAX_CONCURRENT_PULLS:
            return False
        self._pull_started_at[address] = self._clock.monotonic()
        self._start_task(self._pull(address))
        return True

    async def _pull(self, address: str) -> None:
        """Pull once from an instance.

        A batch with a kind of object that this version doesn't know is refused as a whole. Were the
        rest of it applied, this instance would pass it on without that object, and peers would miss
        the object too.
        """
        try:
            batch = await self._fetch(address)
        except CALL_ERRORS as error:
            self._sources.report(address, False, self._clock.monotonic())
            if isinstance(error, asyncio.TimeoutError):
                self._channels.forget(address)
        except (KeyError, ValueError) as error:
            self._sources.report(address, False, self._clock.monotonic())
            logger.error("unreadable-configuration", source=address, error=repr(error))
        else:
            self._sources.report(address, True, self._clock.monotonic())
            self.take(batch)
        finally:
            self._pull_started_at.pop(address, None)
        self._pull_announced()

    async def _fetch(self, address: str) -> Batch:
        stub = ConfigurationStub(self._channels.get(address))
        records: list[Record] = []
        request = pb.PullRequest(since=self.revision())
        async with stub.Pull.open(timeout=PULL_TIMEOUT_SECONDS) as stream:
            await stream.send_message(request, end=True)
            async for part in stream:
                records.extend(map(decode_record, part.records))
                if part.last:
                    self._sources.learn_keepers(part.keepers)
                    since, revision = Revision(part.since), Revision(part.revision)
                    return Batch(part.lineage, since, revision, tuple(records), part.whole)
        raise ConnectionError(f"{address} ended a batch before its last part")

    def _announce(self) -> None:
        now = self._clock.monotonic()
        for address in self._sources.choose_partners(ANNOUNCE_FAN_OUT, now):
            self._start_task(self._send_announcement(address))

    async def _send_announcement(self, address: str) -> None:
        stub = ConfigurationStub(self._channels.get(address))
        request = pb.AnnounceRequest(revision=self.revision(), address=self._own_address)
        try:
            await stub.Announce(request, timeout=ANNOUNCE_TIMEOUT_SECONDS)
        except CALL_ERRORS:
            self._sources.report(address, False, self._clock.monotonic())

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        if self._loop_task is None:
            coroutine.close()
            return
        task: asyncio.Task[None] = start_coroutine(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class ConfigurationService(ConfigurationBase):
    """Serves the committed configuration of this instance to peers."""

    def __init__(self, client: ConfigurationClient) -> None:
        self._client = client

    async def Pull(self, stream: "Stream[pb.PullRequest, pb.PullPart]") -> None:  # noqa: N802
        """Send what the peer lacks, in parts that are each quick to encode."""
        request = await stream.recv_message()
        assert request is not None
        batch = self._client.collect_since(Revision(request.since))
        for part in encode_parts(batch, self._client.sources.keepers):
            await stream.send_message(part)

    async def Announce(self, stream: "Stream[pb.AnnounceRequest, pb.Ack]") -> None:  # noqa: N802
        """Record a peer's revision, and pull from the peer if it is newer."""
        request = await stream.recv_message()
        assert request is not None
        self._client.hear_revision(request.address, Revision(request.revision))
        await stream.send_message(pb.Ack())
