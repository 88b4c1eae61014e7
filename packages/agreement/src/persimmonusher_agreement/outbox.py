"""The effects of one step of membership, and the envelopes of its messages."""

from random import Random
from typing import Final

from persimmonusher_agreement.gossip import ByteBudget, GossipQueue
from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.member_table import MemberTable
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import (
    Ack,
    Effect,
    Envelope,
    Join,
    Ping,
    Rumour,
    Send,
)
from persimmonusher_agreement.probing import Outgoing
from persimmonusher_agreement.record import Record
from persimmonusher_agreement.record_store import RecordStore
from persimmonusher_model.identifiers import Revision

HEADER_BYTES: Final = 110
"""Headers of IP and UDP (28), tag (16), sender, revision, digest and a small body, as encoded."""
MAX_UPDATES_BYTES: Final = 1100
"""Room for updates in a datagram of 1,400 bytes."""
EXCHANGE_RESERVE_SHARE: Final = 0.25
"""Share of the burst reserved for exchanges: in a flood of rumours they repair more with fewer
bytes."""
PIGGYBACKING_BODIES: Final = (Ping, Ack)
"""Bodies that leave room for piggybacked updates."""


class Outbox:
    """Collects effects, and wraps each message in an envelope with updates for its receiver."""

    def __init__(
        self,
        table: MemberTable,
        store: RecordStore,
        queue: GossipQueue,
        limits: MembershipLimits,
        random: Random,
    ) -> None:
        self._table = table
        self._store = store
        self._queue = queue
        self._limits = limits
        self._random = random
        self._budget = ByteBudget(limits.budget_rate, limits.budget_burst)
        self._effects: list[Effect] = []
        self.revision = Revision(0)
        """The configuration revision in force here."""

    def add(self, effect: Effect) -> None:
        """Add an effect other than a message."""
        self._effects.append(effect)

    def drain(self) -> list[Effect]:
        """Return the effects collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def has_budget(self, active: float) -> bool:
        """Return whether exchanges may be sent now."""
        return self._budget.available(active) > 0

    def send(self, outgoing: Outgoing, updates: tuple[Record, ...] = ()) -> None:
        """Send a message with the given updates and, if it is small, queued ones that fit."""
        urgent = (*self._list_subject_records(outgoing), *updates)
        if isinstance(outgoing.body, PIGGYBACKING_BODIES):
            room = MAX_UPDATES_BYTES - sum(record.size for record in urgent)
            urgent = (*urgent, *self._queue.take(room))
        self._budget.spend(HEADER_BYTES + sum(record.size for record in urgent))
        envelope = Envelope(
            self._table.own.instance_id, self.revision, self._store.digest, outgoing.body, urgent
        )
        self._effects.append(Send(outgoing.address, envelope))

    def spread(self, active: float) -> None:
        """Send queued rumours to a few random peers; only urgent ones when the budget is short."""
        if not len(self._queue):
            return
        short = self._is_budget_short(active)
        for peer in self._choose_peers():
            records = self._queue.take(MAX_UPDATES_BYTES, urgent_only=short)
            if records:
                self.send(Outgoing(peer.peer_address, peer.instance_id, Rumour()), records)

    def push(self, record: Record, active: float) -> None:
        """Send one change to a few random peers at once, before its turn in the queue."""
        if self._is_budget_short(active) and not record.is_urgent:
            return
        for peer in self._choose_peers():
            self.send(Outgoing(peer.peer_address, peer.instance_id, Rumour()), (record,))
            self._queue.count_send(record)

    def _is_budget_short(self, active: float) -> bool:
        return self._budget.available(active) < self._limits.budget_burst * EXCHANGE_RESERVE_SHARE

    def _choose_peers(self) -> list[MemberRecord]:
        peers = self._table.list_peers()
        return self._random.sample(peers, min(self._limits.gossip_fanout, len(peers)))

    def _list_subject_records(self, outgoing: Outgoing) -> tuple[Record, ...]:
        """Return what a message must carry about its receiver, if it is suspected or declared dead.

        Failure: an instance was declared dead while it was cut off, and after the cut has healed it
        learns of that only by chance. Then some instances treat a live instance as gone for long.
        Each message to it carries its record, so the first one that arrives triggers the
        refutation. A join carries our own record, to introduce this instance.
        """
        if isinstance(outgoing.body, Join):
            return (self._table.own,)
        if outgoing.instance is None:
            return ()
        member = self._table.find(outgoing.instance)
        if member is None or member.state is MemberState.ALIVE:
            return ()
        return (member,)
