"""Silent backend servers: when their watchers declare them lost.

A server is lost when a majority of its watchers, asked at the same time, have heard nothing of it
for the timeout, and none has. This guards against:

- A watcher whose incoming path is cut hears no server. Alone it isn't a majority, and one watcher
  that hears the server vetoes the loss.
- A watcher that was paused finds every server silent. Silence is measured in active time, so each
  server has the whole timeout again to be heard.
- On the smaller side of a cut fleet, only its own instances are watchers. Unless a majority of the
  known fleet is live, no server is declared lost; detection by real requests stops sending to
  servers that don't answer.

Most servers may fall silent at once because the path of the announcements is broken. One watcher
can't see that, as it watches few servers: `Directory.list_servers` guards against it.
"""

from dataclasses import dataclass, field, replace
from typing import Final

from persimmonusher_agreement.directory import Directory
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import Heartbeat, SilenceQuery, SilenceReply
from persimmonusher_agreement.server_record import ServerRecord
from persimmonusher_agreement.watchers import WatcherChoice
from persimmonusher_model.identifiers import InstanceId, ServerId

HEARTBEATS_IN_TIMEOUT: Final = 5
"""At 20% loss, five in a row are lost once in 3,000 timeouts, at two watchers once in 10^7."""


@dataclass
class _LastHeard:
    """The last sign of life of a watched server, in active seconds."""

    boot_id: int
    sequence: int
    at: float


@dataclass
class _Inquiry:
    """The other watchers' answers about a silent server."""

    asked: float
    sequence: int
    silent: set[InstanceId] = field(default_factory=set)


@dataclass
class SilenceStep:
    """The result of a step: queries to other watchers, and records of servers found to be lost."""

    queries: list[tuple[InstanceId, SilenceQuery]] = field(default_factory=list)
    lost: list[ServerRecord] = field(default_factory=list)


class SilenceWatch:
    """Detects the loss of servers in the shards that this instance watches."""

    def __init__(
        self,
        own: InstanceId,
        directory: Directory,
        choice: WatcherChoice,
        limits: MembershipLimits,
    ) -> None:
        self._own = own
        self._directory = directory
        self._choice = choice
        self._limits = limits
        self._heard: dict[ServerId, _LastHeard] = {}
        self._inquiries: dict[ServerId, _Inquiry] = {}
        self._is_on_hold = False
        self.stride = 1
        """One in this many heartbeats of a server is forwarded; the timeout grows with it."""

    @property
    def timeout(self) -> float:
        """Return the active seconds of silence after which the other watchers are asked."""
        return max(
            self._limits.heartbeat_timeout_seconds, HEARTBEATS_IN_TIMEOUT * float(self.stride)
        )

    @property
    def watched_count(self) -> int:
        """Return the number of servers watched."""
        return len(self._heard)

    def learn(self, record: ServerRecord, active: float) -> None:
        """Count a new record of a watched server as a sign of life, unless it is a tombstone."""
        if not record.is_tombstone and record.server_id in self._heard:
            self._record_heartbeat(record.server_id, record.boot_id, record.sequence, active)

    def receive(self, heartbeat: Heartbeat, active: float) -> None:
        """Record a heartbeat, whichever entry forwarded it."""
        self._record_heartbeat(heartbeat.server_id, heartbeat.boot_id, heartbeat.sequence, active)

    def find_newer(self, lost: ServerRecord, active: float) -> ServerRecord | None:
        """Return a newer record that refutes a loss if the server was heard since, else None."""
        heard = self._heard.get(lost.server_id)
        if heard is None or active - heard.at > self.timeout:
            return None
        if (heard.boot_id, heard.sequence) <= lost.freshness or heard.boot_id != lost.boot_id:
            return None
        return replace(lost, lost=False, sequence=heard.sequence)

    def tick(self, active: float, sees_majority: bool) -> SilenceStep:
        """Check for silent servers: query the other watchers, and decide by earlier replies."""
        watched = self._refresh(active)
        silent = [
            record for record in watched if active - self._heard[record.server_id].at > self.timeout
        ]
        self._is_on_hold = not sees_majority
        step = SilenceStep()
        if not self._is_on_hold:
            for record in silent:
                self._check_silent(record, active, step)
        return step

    def answer(self, query: SilenceQuery, active: float) -> SilenceReply:
        """Answer another watcher when this one last heard of a server."""
        heard = self._heard.get(query.server_id)
        if heard is None:
            return SilenceReply(query.server_id, query.boot_id, 0, silent=False, heard=False)
        recent = active - heard.at <= self.timeout
        silent = not recent and not self._is_on_hold
        age = int((active - heard.at) * 1000)
        return SilenceReply(query.server_id, heard.boot_id, heard.sequence, silent, recent, age)

    def handle_reply(self, reply: SilenceReply, sender: InstanceId, active: float) -> None:
        """Count another watcher's reply; one that heard the server vetoes the loss."""
        inquiry = self._inquiries.get(reply.server_id)
        if inquiry is None:
            return
        if reply.heard:
            heard_at = active - reply.age_milliseconds / 1000
            self._record_heartbeat(reply.server_id, reply.boot_id, reply.sequence, heard_at)
        elif reply.silent:
            inquiry.silent.add(sender)
            inquiry.sequence = max(inquiry.sequence, reply.sequence)

    def _refresh(self, active: float) -> list[ServerRecord]:
        """Return the watched servers; a newly watched one has the whole timeout from now on."""
        watched = [
            record
            for shard in self._choice.list_own_shards()
            for record in self._directory.list_shard(shard).values()
        ]
        self._heard = {
            record.server_id: self._heard.get(record.server_id)
            or _LastHeard(record.boot_id, record.sequence, active)
            for record in watched
        }
        for server_id in [name for name in self._inquiries if name not in self._heard]:
            del self._inquiries[server_id]
        return watched

    def _record_heartbeat(
        self, server_id: ServerId, boot_id: int, sequence: int, at: float
    ) -> None:
        heard = self._heard.get(server_id)
        if heard is not None and (boot_id, sequence) < (heard.boot_id, heard.sequence):
            return
        latest = at if heard is None else max(at, heard.at)
        self._heard[server_id] = _LastHeard(boot_id, sequence, latest)
        self._inquiries.pop(server_id, None)

    def _check_silent(self, record: ServerRecord, active: float, step: SilenceStep) -> None:
        watchers = self._choice.list_watchers(record.server_id)
        inquiry = self._inquiries.get(record.server_id)
        majority = len(watchers) // 2 + 1
        if inquiry is not None and 1 + len(inquiry.silent.intersection(watchers)) >= majority:
            sequence = max(record.sequence, inquiry.sequence)
            step.lost.append(replace(record, lost=True, sequence=sequence))
            return
        if inquiry is None:
            sequence = self._heard[record.server_id].sequence
            inquiry = _Inquiry(active, sequence)
            self._inquiries[record.server_id] = inquiry
        inquiry.asked = active
        query = SilenceQuery(record.server_id, record.boot_id)
        step.queries.extend((watcher, query) for watcher in watchers if watcher != self._own)


def choose_stride(servers: int, instances: int, limits: MembershipLimits) -> int:
    """Return n so that every n-th heartbeat of a server is forwarded.

    Load: 110,000 servers announce once a second; each heartbeat goes to 3 watchers in about 110
    bytes with headers, 132 a second from each of 2,500 instances: 14.5 KB/s. Harm: more than all
    control may use. Limit: at 2,000 bytes a second every 8th is forwarded, and a silent server is
    lost after 40 s instead of 5; detection by real requests doesn't wait for that.
    """
    per_second = servers * limits.watchers * HEARTBEAT_BYTES / max(1, instances)
    return max(1, -(-int(per_second) // int(limits.heartbeat_rate)))


HEARTBEAT_BYTES: Final = 110
"""A heartbeat datagram, with the tag and the headers of UDP and IP."""
