"""The keeper role: drives one keeper of the log on its disk and serves it over gRPC.

One task takes turns: events that came in meanwhile are synced together, and only then does
anything leave. A disk that fails ends the keeper, which says so and starts again from the disk.
"""

import asyncio
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Any, Final

import structlog
from grpclib._typing import IServable

from persimmonusher_agreement.configuration_keeper import (
    ANY_KEEPERS,
    SNAPSHOT_ENTRIES,
    ConfigurationKeeper,
    KeeperOutput,
    KeeperStatus,
    LossTolerance,
)
from persimmonusher_agreement.configuration_objects import Change, Verdict
from persimmonusher_agreement.log_messages import (
    AppendRequest,
    KeeperId,
    Members,
    SnapshotRequest,
)
from persimmonusher_agreement.log_storage import StorageError
from persimmonusher_agreement.log_timing import LogTiming
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_model.identifiers import InstanceId, Revision
from persimmonusher_node.ages import bound_age
from persimmonusher_node.component import Component
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper_courier import KeeperCourier
from persimmonusher_node.keeper_files import KeeperFiles
from persimmonusher_node.keeper_followers import FollowerCount
from persimmonusher_node.keeper_formation import (
    Candidate,
    KeeperFormation,
    ListedFormation,
)
from persimmonusher_node.keeper_joining import KeeperJoining, is_empty
from persimmonusher_node.keeper_message_wire import decode_message
from persimmonusher_node.keeper_service import KeeperService
from persimmonusher_node.keeper_storage import KeeperStorage
from persimmonusher_node.keeper_waiting import WaitingCalls
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.settings import Settings
from persimmonusher_protocol import keeper_pb2 as pb

logger = structlog.get_logger(__name__)

FOLDER: Final = "keeper"
TURN_SECONDS: Final = 0.05
"""Longest wait between turns: a quarter of a heartbeat."""

REOPEN_SECONDS: Final = 5.0
"""Wait before a failed disk is tried again."""

FIRST_ANSWER_BITS: Final = 48
"""Two starts of one keeper are very unlikely to number answers alike, and numbers stay short."""

SNAPSHOT_CHECK_SECONDS: Final = 0.5


def describe_leader(status: KeeperStatus, majority_age: float) -> dict[str, Any]:
    """Return the fields of a line that say who leads, and how far this keeper has come."""
    return {
        "leader": status.leader,
        "term": status.term,
        "commit": status.commit_index,
        "revision": status.revision,
        "majority_age": round(bound_age(majority_age), 3),
    }


class KeeperRole(Component):
    """One keeper as a component of the daemon; only where `settings.is_keeper` and a data folder.

    Constructor: `KeeperRole(settings, channels, clock, client, random)`, where `client` is this
    instance's ConfigurationClient; committed changes go straight to it.
    """

    def __init__(
        self,
        settings: Settings,
        channels: ChannelPool,
        clock: Clock,
        client: ConfigurationClient,
        random: Random | None = None,
        formation: KeeperFormation | None = None,
        tolerance: LossTolerance = ANY_KEEPERS,
        timing: LogTiming = LogTiming(),  # noqa: B008 - frozen
    ) -> None:
        if settings.data_folder is None:
            raise UsherError(ErrorCode.MISSING_KEY, "data_folder: a keeper needs one")
        self._settings = settings
        self.folder = Path(settings.data_folder) / FOLDER
        self._clock = clock
        self._client = client
        self._random = random or Random()
        self._files: KeeperFiles | None = None
        self._storage: KeeperStorage | None = None
        self._keeper: ConfigurationKeeper | None = None
        self.failure = "not started"
        self._wake = asyncio.Event()
        self._calls = WaitingCalls()
        self._formation = formation or ListedFormation(settings.keepers)
        self._tolerance = tolerance
        self._timing = timing
        self.followers = FollowerCount()
        self._courier = KeeperCourier(channels, settings.listen.peers)
        self._joining = KeeperJoining(self, settings, channels, clock, client, self._formation)
        self._main: list[asyncio.Task[None]] = []
        self._leader: KeeperId | None = None
        """The leader that was logged last."""

    # Owned by the daemon

    def list_peer_handlers(self) -> Sequence[IServable]:
        """Return the Keeper service."""
        return (KeeperService(self),)

    def start(self) -> None:
        """Open the disk and begin to take part."""
        self._open()
        loops = (self._run(), self._joining.run(), self._run_snapshots())
        self._main = [start_coroutine(loop) for loop in loops]

    def stop(self) -> None:
        """End all work and release the disk."""
        for task in self._main:
            task.cancel()
        self._main = []
        self._courier.stop()
        self._close("stopped")

    # Asked by the service

    @property
    def keeper(self) -> ConfigurationKeeper:
        """Return the running keeper; raise UNAVAILABLE while the disk has failed."""
        if self._keeper is None:
            raise UsherError(
                ErrorCode.UNAVAILABLE, f"this keeper makes no promises: {self.failure}"
            )
        return self._keeper

    @property
    def is_open(self) -> bool:
        """Tell whether the disk is open and the keeper takes part."""
        return self._keeper is not None

    @property
    def identity(self) -> KeeperId:
        """Return this keeper's identity, empty while the disk has failed."""
        return self._storage.keeper if self._storage else KeeperId("")

    @property
    def first_keeper(self) -> str:
        """Return the instance that stands first among the keepers in the settings."""
        keepers = self._settings.keepers
        return keepers[0].instance_id if keepers else ""

    def take_message(self, wire: pb.LogMessage) -> None:
        """Take another keeper's message."""
        message = decode_message(wire)
        self._courier.learn_address(message.source, wire.address)
        from_leader = isinstance(message, AppendRequest | SnapshotRequest)
        now = self._clock.monotonic()
        self.followers.hear(message.source, wire.followers, now, from_leader)
        with self._guard():
            self.keeper.receive(message, self._clock.monotonic(), wire.lineage)
        self._wake.set()

    async def propose(self, change: Change) -> Verdict:
        """Have a change decided; raise NOT_LEADER, or UNAVAILABLE with its outcome unknown."""
        self._calls.check_limit()
        with self._guard():
            verdict = self.keeper.propose(change, self._clock.monotonic())
        if verdict is not None:
            return verdict
        answer = self._calls.wait_for_verdict(change.change_id)
        self._wake.set()
        return await answer

    async def confirm(self) -> Revision:
        """Return a revision that holds all changes accepted before the call; as leader only."""
        self._calls.check_limit()
        with self._guard():
            ticket = self.keeper.start_read(self._clock.monotonic())
        answer = self._calls.wait_for_read(ticket)
        self._wake.set()
        return await answer

    def admit(self, candidate: Candidate, promote: bool) -> None:
        """Take a keeper that asks to join; nothing more happens here unless this one leads."""
        now = self._clock.monotonic()
        if is_empty(self.keeper):
            self._formation.note_candidate(candidate, now)
        if not self.keeper.replica.is_ready_leader or self.keeper.has_pending_members():
            return
        with self._guard():
            self.keeper.admit(
                candidate.keeper, candidate.address, promote, now, candidate.failure_domain
            )
        self._wake.set()

    def form(self, members: Members) -> None:
        """Begin a new log with these members, where this keeper holds none."""
        with self._guard():
            if is_empty(self.keeper):
                self.keeper.form(members)
                logger.info("log-formed", lineage=members.lineage)
        self._wake.set()

    def dismiss(self, keeper: KeeperId) -> None:
        """Remove a keeper for good; as leader only."""
        with self._guard():
            self.keeper.dismiss(keeper, self._clock.monotonic())
        self._wake.set()

    # The disk

    def _open(self) -> None:
        files = self._files = KeeperFiles(self.folder)
        try:
            files.__enter__()
            self._storage = KeeperStorage(files, InstanceId(self._settings.instance_id))
            self._keeper = ConfigurationKeeper(
                self._storage.keeper,
                self._storage,
                self._random,
                self._clock.monotonic(),
                self._timing,
                snapshot_entries=SNAPSHOT_ENTRIES,
                compacts_itself=False,
                tolerance=self._tolerance,
                first_answer=self._random.getrandbits(FIRST_ANSWER_BITS),
            )
        except UsherError as error:
            self._close(str(error))
            return
        self.failure = ""
        report = self._storage.report
        logger.info(
            "keeper-opened",
            keeper=self._storage.keeper,
            new_identity=report.new_identity,
            torn_bytes=report.torn_bytes,
            set_aside=str(report.set_aside) if report.set_aside else None,
            damage=report.damage or None,
        )

    def _close(self, reason: str) -> None:
        """Stop making promises; what waits gets its answer at once."""
        self.failure = reason
        self._keeper = None
        self._storage = None
        if self._files is not None:
            self._files.close()
            self._files = None
        self._calls.fail(f"this keeper makes no promises: {reason}")

    @contextmanager
    def _guard(self) -> Iterator[None]:
        """End the keeper when its disk fails, and let the caller see the error too."""
        try:
            yield
        except StorageError as error:
            self._fail(error)
            raise

    def _fail(self, error: StorageError) -> None:
        logger.error("keeper-failed", error=str(error))
        self._close(str(error))

    # Turns

    async def _run(self) -> None:
        """Take turns until cancelled.

        An error that nobody foresaw ends the keeper like a failed disk. A keeper whose loop died
        would go on to answer calls from a state that no longer moves.
        """
        while True:
            if self._keeper is None:
                await asyncio.sleep(REOPEN_SECONDS)
                self._open()
                continue
            self._wake.clear()
            try:
                self._keeper.advance(self._clock.monotonic())
                output = self._keeper.flush()
                self._hand_out(self._keeper, output)
            except StorageError as error:
                self._fail(error)
                continue
            except Exception as error:
                logger.exception("keeper-broke")
                self._close(f"internal error: {error!r}")
                continue
            try:
                await asyncio.wait_for(self._wake.wait(), TURN_SECONDS)
            except TimeoutError:
                continue

    def _hand_out(self, keeper: ConfigurationKeeper, output: KeeperOutput) -> None:
        members = keeper.replica.log.members
        followers = self.followers.tell(keeper.replica.is_leader, self._clock.monotonic())
        for message in output.messages:
            self._courier.send(message, members, followers)
        self._calls.answer(keeper, output.verdicts)
        self._note_leader(keeper)
        if keeper.configuration.revision > self._client.revision():
            self._client.take(keeper.configuration.collect_since(self._client.revision()))

    def _note_leader(self, keeper: ConfigurationKeeper) -> None:
        """Log who leads, whenever that changes."""
        status = keeper.describe()
        if status.leader == self._leader:
            return
        self._leader = status.leader
        age = keeper.replica.find_majority_age(self._clock.monotonic())
        logger.info("leader-changed", **describe_leader(status, age))

    async def _run_snapshots(self) -> None:
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_SECONDS)
            try:
                await self._take_snapshot_if_due()
            except UsherError as error:
                logger.error("snapshot-failed", error=str(error))

    async def _take_snapshot_if_due(self) -> None:
        """Write a snapshot between turns; the log is compacted once it is durable."""
        keeper, storage = self._keeper, self._storage
        snapshot = keeper.capture_if_due() if keeper else None
        if keeper is None or storage is None or snapshot is None:
            return
        with self._guard():
            for _ in storage.prepare_snapshot(snapshot):
                await asyncio.sleep(0)
                if self._keeper is not keeper:
                    return
            keeper.compact(snapshot)
        logger.info("log-compacted", index=snapshot.index, revision=snapshot.state.revision)
