"""The keeper role: runs one keeper of the replicated log on its disk and serves it over gRPC.

One task works in turns: the events that arrived since the last turn are synced to the disk
together, and only then are messages and answers sent. When the disk fails, the keeper stops,
reports the failure, and later starts again from what is on the disk.
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
    DEFAULT_TOLERANCE,
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
from persimmonusher_node.keeper_files import KeeperFiles
from persimmonusher_node.keeper_followers import FollowerCount
from persimmonusher_node.keeper_formation import (
    Candidate,
    KeeperFormation,
    ListedFormation,
)
from persimmonusher_node.keeper_joining import KeeperJoining, is_empty
from persimmonusher_node.keeper_leaderless import LeaderlessSpells
from persimmonusher_node.keeper_message_wire import decode_message
from persimmonusher_node.keeper_sender import KeeperSender
from persimmonusher_node.keeper_service import KeeperService
from persimmonusher_node.keeper_storage import KeeperStorage
from persimmonusher_node.keeper_waiting import PendingCalls
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.settings import Settings
from persimmonusher_protocol import keeper_pb2 as pb

logger = structlog.get_logger(__name__)

KEEPER_FOLDER: Final = "keeper"
TURN_SECONDS: Final = 0.05
"""Longest wait between turns: a quarter of a default heartbeat interval."""

REOPEN_SECONDS: Final = 5.0
"""Wait before a failed disk is opened again."""

FIRST_ANSWER_BITS: Final = 48
"""Enough that two starts of a keeper hardly ever use the same answer numbers, and few enough that
the numbers stay short."""

SNAPSHOT_CHECK_SECONDS: Final = 0.5


def describe_leader(status: KeeperStatus, majority_age: float) -> dict[str, Any]:
    """Return the log fields for the leader and for this keeper's progress."""
    return {
        "leader": status.leader,
        "term": status.term,
        "commit": status.commit_index,
        "revision": status.revision,
        "majority_age": round(bound_age(majority_age), 3),
    }


class KeeperRole(Component):
    """One keeper as a component of the daemon.

    Only for an instance with `settings.is_keeper` and a data folder. `client` is this instance's
    ConfigurationClient, to which committed changes are passed directly.
    """

    def __init__(
        self,
        settings: Settings,
        channels: ChannelPool,
        clock: Clock,
        client: ConfigurationClient,
        random: Random | None = None,
        formation: KeeperFormation | None = None,
        tolerance: LossTolerance = DEFAULT_TOLERANCE,
        timing: LogTiming = LogTiming(),  # noqa: B008 - frozen
    ) -> None:
        if settings.data_folder is None:
            raise UsherError(ErrorCode.MISSING_KEY, "data_folder: a keeper needs one")
        self._settings = settings
        self.folder = Path(settings.data_folder) / KEEPER_FOLDER
        self._clock = clock
        self._client = client
        self._random = random or Random()
        self._files: KeeperFiles | None = None
        self._storage: KeeperStorage | None = None
        self._keeper: ConfigurationKeeper | None = None
        self.failure = "not started"
        self._wake = asyncio.Event()
        self._calls = PendingCalls()
        self._formation = formation or ListedFormation(settings.keepers)
        self._tolerance = tolerance
        self._timing = timing
        self.followers = FollowerCount()
        self._sender = KeeperSender(channels, settings.listen.peers)
        self._joining = KeeperJoining(self, settings, channels, clock, client, self._formation)
        self._main: list[asyncio.Task[None]] = []
        self._leader: KeeperId | None = None
        """The leader named by the last log line."""
        self.leaderless = LeaderlessSpells(clock.monotonic())

    # Called by the daemon

    def list_peer_handlers(self) -> Sequence[IServable]:
        """Return the handler of the Keeper gRPC service."""
        return (KeeperService(self),)

    def start(self) -> None:
        """Open the disk and start the background tasks."""
        self._open()
        loops = (self._run(), self._joining.run(), self._run_snapshots())
        self._main = [start_coroutine(loop) for loop in loops]

    def stop(self) -> None:
        """Cancel the background tasks and release the disk."""
        for task in self._main:
            task.cancel()
        self._main = []
        self._sender.stop()
        self._close("stopped")

    # Called by the service

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
        """Return whether the disk is open and the keeper runs."""
        return self._keeper is not None

    @property
    def identity(self) -> KeeperId:
        """Return this keeper's identity, or an empty one while the disk has failed."""
        return self._storage.keeper if self._storage else KeeperId("")

    @property
    def first_keeper(self) -> str:
        """Return the instance that the settings list first among the keepers, or an empty id."""
        keepers = self._settings.keepers
        return keepers[0].instance_id if keepers else ""

    def handle_message(self, wire: pb.LogMessage) -> None:
        """Handle another keeper's message of the log."""
        message = decode_message(wire)
        self._sender.learn_address(message.source, wire.address)
        from_leader = isinstance(message, AppendRequest | SnapshotRequest)
        now = self._clock.monotonic()
        self.followers.record(message.source, wire.followers, now, from_leader)
        with self._guard():
            self.keeper.receive(message, self._clock.monotonic(), wire.lineage)
        self._wake.set()

    async def propose(self, change: Change) -> Verdict:
        """Return the verdict on a change; raise NOT_LEADER, or UNAVAILABLE if it is unknown."""
        self._calls.check_limit()
        with self._guard():
            verdict = self.keeper.propose(change, self._clock.monotonic())
        if verdict is not None:
            return verdict
        answer = self._calls.wait_for_verdict(change.change_id)
        self._wake.set()
        return await answer

    async def confirm(self) -> Revision:
        """Return a revision that holds all changes accepted before the call; leader only."""
        self._calls.check_limit()
        with self._guard():
            ticket = self.keeper.start_read(self._clock.monotonic())
        answer = self._calls.wait_for_read(ticket)
        self._wake.set()
        return await answer

    def admit(self, candidate: Candidate, promote: bool) -> None:
        """Handle a keeper's request to join.

        A keeper without a log adds it to its candidates. A leader admits it, unless a change of the
        members is pending. Others ignore it.
        """
        now = self._clock.monotonic()
        if is_empty(self.keeper):
            self._formation.add_candidate(candidate, now)
        if not self.keeper.replica.is_ready_leader or self.keeper.has_pending_members():
            return
        with self._guard():
            self.keeper.admit(
                candidate.keeper, candidate.address, promote, now, candidate.failure_domain
            )
        self._wake.set()

    def form_log(self, members: Members) -> None:
        """Form a new log with these members, unless this keeper already holds one."""
        with self._guard():
            if is_empty(self.keeper):
                self.keeper.form(members)
                logger.info("log-formed", lineage=members.lineage)
        self._wake.set()

    def dismiss(self, keeper: KeeperId) -> None:
        """Remove a keeper permanently; leader only."""
        with self._guard():
            self.keeper.dismiss(keeper, self._clock.monotonic())
        self._wake.set()

    # Disk

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
                compacts_on_flush=False,
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
        """Stop the keeper, and fail all waiting calls at once."""
        self.failure = reason
        self._keeper = None
        self._storage = None
        if self._files is not None:
            self._files.close()
            self._files = None
        self._calls.fail(f"this keeper makes no promises: {reason}")

    @contextmanager
    def _guard(self) -> Iterator[None]:
        """Stop the keeper when its disk fails, and raise the error to the caller as well."""
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
        """Run turns until cancelled.

        An unexpected error stops the keeper as a failed disk does. Otherwise the loop would end,
        and the keeper would go on answering calls from a state that never changes.
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
                self._deliver(self._keeper, output)
            except StorageError as error:
                self._fail(error)
                continue
            except Exception as error:
                logger.exception("keeper-turn-failed")
                self._close(f"internal error: {error!r}")
                continue
            try:
                await asyncio.wait_for(self._wake.wait(), TURN_SECONDS)
            except TimeoutError:
                continue

    def _deliver(self, keeper: ConfigurationKeeper, output: KeeperOutput) -> None:
        members = keeper.replica.log.members
        followers = self.followers.find_count_to_send(
            keeper.replica.is_leader, self._clock.monotonic()
        )
        for message in output.messages:
            self._sender.send(message, members, followers)
        self._calls.answer(keeper, output.verdicts)
        self._log_leader(keeper)
        if keeper.configuration.revision > self._client.revision():
            self._client.apply_batch(keeper.configuration.collect_since(self._client.revision()))

    def _log_leader(self, keeper: ConfigurationKeeper) -> None:
        """Log the leader whenever it changes."""
        status = keeper.describe()
        if status.leader == self._leader:
            return
        self._leader = status.leader
        now = self._clock.monotonic()
        seconds = self.leaderless.record_leader(status.leader is not None, now)
        age = keeper.replica.find_majority_age(now)
        logger.info(
            "leader-changed", **describe_leader(status, age), without_leader=round(seconds, 3)
        )

    async def _run_snapshots(self) -> None:
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_SECONDS)
            try:
                await self._take_snapshot_if_due()
            except UsherError as error:
                logger.error("snapshot-failed", error=str(error))

    async def _take_snapshot_if_due(self) -> None:
        """Write a snapshot in steps between turns, and compact the log once it is durable.

        The write is abandoned if the keeper is stopped or reopened meanwhile.
        """
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
