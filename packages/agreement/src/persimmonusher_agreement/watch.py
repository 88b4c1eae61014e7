"""Silent backend servers: when their watchers take them for lost.

A server is lost when a majority of its watchers, asked at the same time, have heard nothing of it
for the timeout, and none has. What this guards against:

- A watcher whose incoming path is cut hears no server. Alone it is no majority, and one watcher
  that hears the server is a veto.
- A watcher that was paused finds every server silent. Silence counts in active time, so each
  server has the whole timeout again to be heard.
- The smaller side of a cut fleet sees only itself as watchers. Without a majority of the known
  fleet live, nothing is lost; detection by real work stops sending to servers that don't answer.

That most servers fall silent at once, because the way that announcements take is broken, can't be
seen by one watcher, which has few servers: `Directory.list_servers` guards against that.
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
"""At 20% loss, five in a row are lost once in 3,000 timeouts, and at two watchers once in 10^7."""


@dataclass
class _Heard:
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
    """Whom to ask about which server, and which servers are lost."""

    queries: list[tuple[InstanceId, SilenceQuery]] = field(default_factory=list)
    lost: list[ServerRecord] = field(default_factory=list)


class SilenceWatch:
    """Listens for the servers whose shard this instance watches."""

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
        self._heard: dict[ServerId, _Heard] = {}
        self._inquiries: dict[ServerId, _Inquiry] = {}
        self._holding = False
        self.stride = 1
        """Only every so many heartbeats are passed on; the timeout grows with it."""

    @property
    def timeout(self) -> float:
        """Return the active seconds of silence after which the others are asked."""
        return max(self._limits.heartbeat_timeout, HEARTBEATS_IN_TIMEOUT * float(self.stride))

    @property
    def watched_count(self) -> int:
        """Return the number of servers watched."""
        return len(self._heard)

    def learn(self, record: ServerRecord, active: float) -> None:
        """Take a new record of a server for a sign of life."""
        if not record.is_tombstone and record.server_id in self._heard:
            self._note(record.server_id, record.boot_id, record.sequence, active)

    def hear(self, heartbeat: Heartbeat, active: float) -> None:
        """Take a heartbeat, whichever entry passed it on."""
        self._note(heartbeat.server_id, heartbeat.boot_id, heartbeat.sequence, active)

    def find_newer(self, lost: ServerRecord, active: float) -> ServerRecord | None:
        """Return the record that contradicts a loss, if the server was heard since."""
        heard = self._heard.get(lost.server_id)
        if heard is None or active - heard.at > self.timeout:
            return None
        if (heard.boot_id, heard.sequence) <= lost.freshness or heard.boot_id != lost.boot_id:
            return None
        return replace(lost, lost=False, sequence=heard.sequence)

    def tick(self, active: float, sees_majority: bool) -> SilenceStep:
        """Look for silent servers; ask about new ones, decide on those asked about before."""
        watched = self._refresh(active)
        silent = [
            record for record in watched if active - self._heard[record.server_id].at > self.timeout
        ]
        self._holding = not sees_majority
        step = SilenceStep()
        if not self._holding:
            for record in silent:
                self._consider(record, active, step)
        return step

    def answer(self, query: SilenceQuery, active: float) -> SilenceReply:
        """Tell another watcher what was heard of a server here."""
        heard = self._heard.get(query.server_id)
        if heard is None:
            return SilenceReply(query.server_id, query.boot_id, 0, silent=False, heard=False)
        recent = active - heard.at <= self.timeout
        silent = not recent and not self._holding
        age = int((active - heard.at) * 1000)
        return SilenceReply(query.server_id, heard.boot_id, heard.sequence, silent, recent, age)

    def handle_reply(self, reply: SilenceReply, sender: InstanceId, active: float) -> None:
        """Count another watcher's answer; one that heard the server is a veto."""
        inquiry = self._inquiries.get(reply.server_id)
        if inquiry is None:
            return
        if reply.heard:
            heard_at = active - reply.age_milliseconds / 1000
            self._note(reply.server_id, reply.boot_id, reply.sequence, heard_at)
        elif reply.silent:
            inquiry.silent.add(sender)
            inquiry.sequence = max(inquiry.sequence, reply.sequence)

    def _refresh(self, active: float) -> list[ServerRecord]:
        """Return the watched servers; one that is new here has the whole timeout from now."""
        watched = [
            record
            for shard in self._choice.list_own_shards()
            for record in self._directory.list_shard(shard).values()
        ]
        self._heard = {
            record.server_id: self._heard.get(record.server_id)
            or _Heard(record.boot_id, record.sequence, active)
            for record in watched
        }
        for server_id in [name for name in self._inquiries if name not in self._heard]:
            del self._inquiries[server_id]
        return watched

    def _note(self, server_id: ServerId, boot_id: int, sequence: int, at: float) -> None:
        heard = self._heard.get(server_id)
        if heard is not None and (boot_id, sequence) < (heard.boot_id, heard.sequence):
            return
        latest = at if heard is None else max(at, heard.at)
        self._heard[server_id] = _Heard(boot_id, sequence, latest)
        self._inquiries.pop(server_id, None)

    def _consider(self, record: ServerRecord, active: float, step: SilenceStep) -> None:
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
    """Return how many heartbeats of a server go by until one is passed on.

    Load: 110,000 servers announce once a second; each heartbeat goes to 3 watchers in about 110
    bytes with headers, 132 a second from each of 2,500 instances: 14.5 KB/s. Harm: more than all
    control may use. Limit: at 2,000 bytes a second every 8th is passed on, and a silent server is
    lost after 40 s instead of 5; detection by real work doesn't wait for that.
    """
    per_second = servers * limits.watchers * HEARTBEAT_BYTES / max(1, instances)
    return max(1, -(-int(per_second) // int(limits.heartbeat_rate)))


HEARTBEAT_BYTES: Final = 110
"""One heartbeat as sent, with the tag and the headers of UDP and IP."""
