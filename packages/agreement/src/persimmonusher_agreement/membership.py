"""Membership of the fleet and directory of servers, for one instance: a state machine without I/O.

SWIM-like: probes detect failures, rumours spread changes, and anti-entropy repairs what rumours
missed. The adapter calls `tick` every 0.1 s and `receive` for each authenticated datagram, and
carries out the effects that they return.

Load at the target size, in bytes a second that each of 2,500 instances sends, with headers:
one ping and one answer a second, 2 x 110 = 220; changes 1.25/s x 14 sends x (110 + 110) = 3,850
if each has a datagram of its own, less if several share one; heartbeats at most 2,000 by
`choose_stride`; an exchange of digests each 5 s, 2,500 / 5 = 500. Together 6.6 KB/s of 8; see
docs/design/membership.md.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import Any, Final

from persimmonusher_agreement.active_time import ActiveTime
from persimmonusher_agreement.anti_entropy import MAX_REPAIR_BYTES, split_records
from persimmonusher_agreement.directory import AnnouncementResult, Directory
from persimmonusher_agreement.exchanges import Exchanges
from persimmonusher_agreement.gossip import GossipQueue, count_transmissions
from persimmonusher_agreement.member_record import MemberRecord
from persimmonusher_agreement.member_table import MemberTable
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import (
    Ack,
    Body,
    BucketDigests,
    Effect,
    Envelope,
    GroupDigests,
    Heartbeat,
    Join,
    MembersChanged,
    NewerRevision,
    Ping,
    PingRequest,
    Repair,
    Rumour,
    ServersChanged,
    SilenceQuery,
    SilenceReply,
    Summary,
)
from persimmonusher_agreement.outbox import Outbox
from persimmonusher_agreement.probing import Outgoing, Prober
from persimmonusher_agreement.record import Record
from persimmonusher_agreement.record_store import RecordStore
from persimmonusher_agreement.server_heartbeats import ServerHeartbeats
from persimmonusher_agreement.server_record import ServerRecord
from persimmonusher_model.identifiers import Revision

MAX_SEEDS_PER_JOIN: Final = 3
MAX_ISOLATION_SHARE: Final = 1 / 3
"""Share of the tombstone retention after which a cut-off instance marks its server records as
unconfirmed. So on the smaller side of a cut, no record in the store is older than twice that, and
none outlives the tombstones on the larger side."""
LEAVE_FANOUT: Final = 8
"""Instances that a leaving instance notifies at once. At 20% loss, none of them receives it in 3 of
10^6 cases; then probes find out."""


class FleetMembership:
    """One instance's view of the fleet and of the backend servers.

    >>> fleet = FleetMembership(own, ("127.0.0.1:7003",), Random(1))  # doctest: +SKIP
    >>> effects = fleet.tick(clock.monotonic())  # doctest: +SKIP
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: Sequence[str],
        random: Random,
        limits: MembershipLimits | None = None,
    ) -> None:
        self._limits = limits or MembershipLimits()
        self._seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._random = random
        self._time = ActiveTime()
        self._store = RecordStore()
        self._queue = GossipQueue()
        self.members = MemberTable(own, self._store, self._limits, bool(self._seeds))
        self.directory = Directory(self._store, self._limits)
        self.prober = Prober(self.members, self._limits, random)
        self._outbox = Outbox(self.members, self._store, self._queue, self._limits, random)
        self._exchanges = Exchanges(self._store, self.members, self._outbox, self._limits, random)
        self.heartbeats = ServerHeartbeats(self.members, self.directory, self._limits)
        self._due: dict[Callable[[float], None], float] = {}
        self._drop_until = 0.0
        self._isolated_since = 0.0
        self._minority_seen_at = 0.0
        self._handlers: dict[type[Any], Callable[[Any, Envelope, str, float], None]] = {
            Ping: self._handle_ping,
            PingRequest: self._handle_ping_request,
            Ack: self._handle_ack,
            Join: self._handle_join,
            Rumour: self._handle_rumour,
            GroupDigests: self._exchanges.handle_groups,
            BucketDigests: self._exchanges.handle_buckets,
            Summary: self._exchanges.handle_summary,
            Repair: self._exchanges.handle_repair,
            Heartbeat: self._handle_heartbeat,
            SilenceQuery: self._handle_silence_query,
            SilenceReply: self._handle_silence_reply,
        }

    @property
    def digest(self) -> int:
        """Return the digest of all live records; equal where two instances agree."""
        return self._store.digest

    @property
    def has_peer_contact(self) -> bool:
        """Return whether others answer this instance, or it is the whole fleet."""
        return self.members.is_alone or self.prober.has_recent_answer(self._time.seconds)

    def set_revision(self, revision: Revision) -> None:
        """Set the configuration revision in force here, which every message carries."""
        self._outbox.revision = revision

    def tick(self, now: float) -> list[Effect]:
        """Run what is due: probes, gossip, expiry, and the check for silent servers."""
        active = self._advance(now)
        limits = self._limits
        self._probe(active)
        self._run_every(limits.gossip_interval, self._outbox.spread, active)
        self._run_every(limits.silence_check_seconds, self._check_heartbeats, active)
        self._run_every(limits.reconnect_interval, self._probe_dead, active)
        alone = len(self.members.live) == 1
        self._run_every(1.0 if alone else limits.seed_interval, self._join, active)
        for record in self.members.expire(active):
            self._publish_change(record, active)
        self._exchanges.catch_up(active)
        self._check_isolation(active)
        for service in self.directory.expire(active):
            self._outbox.add(ServersChanged(service))
        return self._outbox.drain()

    def receive(self, envelope: Envelope, source: str, now: float) -> list[Effect]:
        """Process a datagram from `source`, an `ip:port`."""
        active = self._advance(now)
        if envelope.sender == self.members.own.instance_id or active < self._drop_until:
            return []
        if envelope.revision > self._outbox.revision:
            self._outbox.add(NewerRevision(envelope.sender, envelope.revision))
        sends = self._exchanges.count_sends(envelope)
        stale = [record for record in envelope.updates if not self._apply(record, active, sends)]
        if stale and isinstance(envelope.body, Repair):
            self._exchanges.answer_stale(stale, source)
        self._handlers[type(envelope.body)](envelope.body, envelope, source, active)
        return self._outbox.drain()

    def announce(self, record: ServerRecord, now: float) -> tuple[AnnouncementResult, list[Effect]]:
        """Process a backend server's announcement to this instance, about one a second."""
        active = self._advance(now)
        if active < self._drop_until:
            return AnnouncementResult(accepted=False, changed=False, relayed=False), []
        announced = self.directory.announce(record, active)
        if announced.changed:
            self._publish_change(record, active)
            self._outbox.push(record, active)
        if announced.accepted:
            for outgoing in self.heartbeats.forward(record, active):
                self._outbox.send(outgoing)
        return replace(announced, relayed=self.has_peer_contact), self._outbox.drain()

    def leave(self, now: float) -> list[Effect]:
        """Notify several instances at once that this one leaves; call nothing else afterwards."""
        self._advance(now)
        record = self.members.leave()
        peers = self.members.list_peers()
        for peer in self._random.sample(peers, min(LEAVE_FANOUT, len(peers))):
            rumour = Outgoing(peer.peer_address, peer.instance_id, Rumour())
            self._outbox.send(rumour, (record,))
        return self._outbox.drain()

    def _advance(self, now: float) -> float:
        """Advance active time; after a pause, reset what would misjudge others because of it."""
        active = self._time.advance(now)
        pause = self._time.take_pause()
        if pause:
            self.prober.abandon_round()
        if pause > self._limits.stopped_retention_seconds * MAX_ISOLATION_SHARE:
            self._mark_unconfirmed(active)
            self._drop_until = active + self._limits.drop_after_pause_seconds
        return active

    def _mark_unconfirmed(self, active: float) -> None:
        """Mark all server records as unconfirmed and clear the queue, so that none is sent on."""
        self.directory.mark_all_unconfirmed()
        self._queue.clear()
        self._isolated_since = active
        self._minority_seen_at = active

    def _check_isolation(self, active: float) -> None:
        """Mark server records as unconfirmed while cut off; drop those left once reconnected.

        They are marked before the other instances remove their tombstones.
        """
        limits = self._limits
        self.directory.may_confirm = self.members.sees_majority
        if not self.members.sees_majority:
            self._minority_seen_at = active
            if (
                active - self._isolated_since
                > limits.stopped_retention_seconds * MAX_ISOLATION_SHARE
            ):
                self._mark_unconfirmed(active)
            return
        self._isolated_since = active
        if active - self._minority_seen_at > limits.confirm_seconds:
            for service in self.directory.drop_unconfirmed():
                self._outbox.add(ServersChanged(service))

    def _run_every(self, interval: float, action: Callable[[float], None], active: float) -> None:
        if active >= self._due.get(action, 0.0):
            self._due[action] = active + interval
            action(active)

    def _apply(self, record: Record, active: float, sends: int | None = None) -> bool:
        """Merge a record; return False if ours is newer."""
        if isinstance(record, MemberRecord):
            merged: Record | None = self.members.apply(record, active)
        elif isinstance(record, ServerRecord):
            merged = self.directory.apply(record, active)
        else:
            return True
        if merged is None:
            self._queue.count_duplicate(record)
            held = self._store.get(record.key_hash)
            return held is None or held.version == record.version
        refuted = merged is not record
        self._publish_change(merged, active, None if refuted else sends)
        return True

    def _publish_change(self, record: Record, active: float, sends: int | None = None) -> None:
        """Queue a change for the other instances and add its effects here."""
        usual = count_transmissions(len(self.members.live))
        self._queue.add(record, usual if sends is None else sends)
        self._exchanges.record_change(active)
        if isinstance(record, MemberRecord):
            self._outbox.add(MembersChanged())
            return
        if isinstance(record, ServerRecord):
            self._outbox.add(ServersChanged(record.service))
            newer = self.heartbeats.learn(record, active)
            if newer is not None:
                self._apply(newer, active)

    def _probe(self, active: float) -> None:
        step = self.prober.tick(active)
        if step.suspected is not None:
            suspicion = self.members.suspect(step.suspected, active)
            if suspicion is not None:
                self._publish_change(suspicion, active)
        if step.path is not None:
            self._outbox.add(step.path)
        for outgoing in step.outgoing:
            self._outbox.send(outgoing)

    def _check_heartbeats(self, active: float) -> None:
        outgoing, lost = self.heartbeats.tick(active)
        for message in outgoing:
            self._outbox.send(message)
        for record in lost:
            self._apply(record, active)

    def _probe_dead(self, active: float) -> None:
        """Probe one of the dead instances: after a cut has healed, no other message goes to it."""
        dead = list(self.members.dead.values())
        if dead:
            member = self._random.choice(dead)
            self._ping(member.peer_address, member)

    def _join(self, active: float) -> None:
        """Introduce this instance to seeds that are not among the live instances."""
        known = {member.peer_address for member in self.members.live.values()}
        seeds = [seed for seed in self._seeds if seed not in known]
        for seed in self._random.sample(seeds, min(MAX_SEEDS_PER_JOIN, len(seeds))):
            self._outbox.send(Outgoing(seed, None, Join(self.prober.next_sequence())))

    def _ping(self, address: str, member: MemberRecord) -> None:
        ping = Ping(self.prober.next_sequence())
        self._outbox.send(Outgoing(address, member.instance_id, ping))

    def _handle_ping(self, ping: Ping, envelope: Envelope, source: str, active: float) -> None:
        own = self.members.own.instance_id
        self._outbox.send(Outgoing(source, envelope.sender, Ack(ping.sequence, own)))
        self._exchanges.start(envelope.digest, source, active)

    def _handle_ping_request(
        self, request: PingRequest, envelope: Envelope, source: str, active: float
    ) -> None:
        for outgoing in self.prober.handle_request(request, source, active):
            self._outbox.send(outgoing)

    def _handle_ack(self, ack: Ack, envelope: Envelope, source: str, active: float) -> None:
        for outgoing in self.prober.handle_ack(ack, envelope.sender, active):
            self._outbox.send(outgoing)
        self._exchanges.start(envelope.digest, source, active)

    def _handle_join(self, join: Join, envelope: Envelope, source: str, active: float) -> None:
        """Answer with our record and those of some dead instances, which no exchange carries.

        Failure: an instance restarts on the smaller side of a cut and learns only of the live
        instances there. It would consider its side the whole fleet, and declare servers lost that
        its side doesn't hear.
        """
        own = self.members.own
        ack = Outgoing(source, envelope.sender, Ack(join.sequence, own.instance_id))
        dead = split_records(self.members.dead.values(), MAX_REPAIR_BYTES - own.size)
        self._outbox.send(ack, (own, *(dead[0] if dead else ())))

    def _handle_rumour(self, body: Body, envelope: Envelope, source: str, active: float) -> None:
        """Do nothing: `receive` has merged the updates already."""

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, envelope: Envelope, source: str, active: float
    ) -> None:
        change = self.heartbeats.receive(heartbeat, active)
        if change is not None:
            self._apply(change, active)

    def _handle_silence_query(
        self, query: SilenceQuery, envelope: Envelope, source: str, active: float
    ) -> None:
        reply = self.heartbeats.watch.answer(query, active)
        self._outbox.send(Outgoing(source, envelope.sender, reply))

    def _handle_silence_reply(
        self, reply: SilenceReply, envelope: Envelope, source: str, active: float
    ) -> None:
        self.heartbeats.watch.handle_reply(reply, envelope.sender, active)
