"""Anti-entropy exchanges: when this instance starts one, and how it answers those of others."""

from collections.abc import Sequence
from random import Random
from typing import Final

from persimmonusher_agreement.anti_entropy import (
    MAX_REPAIR_BYTES,
    MAX_REPAIRS,
    AntiEntropy,
    split_records,
)
from persimmonusher_agreement.member_table import MemberTable
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import (
    BucketDigests,
    Envelope,
    GroupDigests,
    Repair,
    Summary,
)
from persimmonusher_agreement.outbox import Outbox
from persimmonusher_agreement.probing import Outgoing
from persimmonusher_agreement.record import Record
from persimmonusher_agreement.record_store import RecordStore

BEHIND_REPAIR_COUNT: Final = 5
"""Records in one answer from which on this instance considers itself behind the others."""
REPAIR_TRANSMISSIONS: Final = 3
MAX_WANTED_WITH_RECORDS: Final = 16
"""Key hashes that fit a datagram beside `MAX_REPAIR_BYTES` of records."""


class Exchanges:
    """Starts exchanges where digests differ, within an interval and the byte budget."""

    def __init__(
        self,
        store: RecordStore,
        table: MemberTable,
        outbox: Outbox,
        limits: MembershipLimits,
        random: Random,
    ) -> None:
        self._store = store
        self._table = table
        self._outbox = outbox
        self._limits = limits
        self._random = random
        self._steps = AntiEntropy(store, limits, random)
        self._next_start = 0.0
        self._unsettled_start = 0.0
        self._changed_at = 0.0
        self._is_behind = False

    def start(self, digest: int, peer: str, active: float) -> None:
        """Start an exchange with a peer whose digest differs."""
        if digest == self._store.digest or active < self._next_start:
            return
        if not self._outbox.has_budget(active):
            return
        is_quiet = active - self._changed_at >= self._limits.settle_seconds
        if not is_quiet and not self._steps.is_small and active < self._unsettled_start:
            return
        self._next_start = active + self._limits.sync_interval
        self._unsettled_start = active + self._limits.unsettled_sync_interval
        self._outbox.send(Outgoing(peer, None, self._steps.start()))

    def record_change(self, active: float) -> None:
        """Record the time of a change of our own records."""
        self._changed_at = active

    def catch_up(self, active: float) -> None:
        """Start another exchange, with a random peer, if the last one brought many records."""
        peers = self._table.list_peers()
        if not self._is_behind or not peers or active < self._next_start:
            return
        self._is_behind = False
        self._next_start = active + self._limits.catch_up_interval
        peer = self._random.choice(peers)
        self._outbox.send(Outgoing(peer.peer_address, peer.instance_id, self._steps.start()))

    def count_sends(self, envelope: Envelope) -> int | None:
        """Return how often new records of this envelope are sent on; None for the usual number.

        Load: an instance that joins learns up to 112,500 records by exchanges. Harm: sending each
        on ten times costs more than the fleet's changes of a day, and its own exchanges wait for
        the budget. Limit: a few repaired records are sent on a few times, in case rumours don't get
        through; many at once aren't sent on at all.
        """
        if not isinstance(envelope.body, Repair):
            return None
        return REPAIR_TRANSMISSIONS if len(envelope.updates) < BEHIND_REPAIR_COUNT else 0

    def repair(self, peer: str, records: Sequence[Record], wanted: tuple[int, ...] = ()) -> None:
        """Send records, and the key hashes wanted, to a peer in at most `MAX_REPAIRS` pieces."""
        pieces = split_records(records, MAX_REPAIR_BYTES)[:MAX_REPAIRS]
        if len(wanted) > MAX_WANTED_WITH_RECORDS or not pieces:
            pieces.insert(0, ())
        for place, piece in enumerate(pieces):
            body = Repair(wanted if place == 0 else ())
            if piece or body.wanted:
                self._outbox.send(Outgoing(peer, None, body), piece)

    def answer_stale(self, stale: Sequence[Record], peer: str) -> None:
        """Answer superseded records with our newer ones, tombstones included."""
        held = [self._store.get(record.key_hash) for record in stale]
        self.repair(peer, [record for record in held if record is not None])

    def handle_groups(
        self, message: GroupDigests, envelope: Envelope, source: str, active: float
    ) -> None:
        """Answer with the bucket digests of some groups that differ."""
        for answer in self._steps.answer_groups(message):
            self._outbox.send(Outgoing(source, envelope.sender, answer))

    def handle_buckets(
        self, message: BucketDigests, envelope: Envelope, source: str, active: float
    ) -> None:
        """Answer with summaries of the buckets that differ."""
        for summary in self._steps.answer_buckets(message):
            self._outbox.send(Outgoing(source, envelope.sender, summary))

    def handle_summary(
        self, summary: Summary, envelope: Envelope, source: str, active: float
    ) -> None:
        """Send records that the sender lacks and request those we lack, within the budget."""
        if self._outbox.has_budget(active):
            difference = self._steps.answer_summary(summary)
            self.repair(source, difference.records, difference.wanted)

    def handle_repair(self, repair: Repair, envelope: Envelope, source: str, active: float) -> None:
        """Send the records that the sender wants; `receive` has merged its updates already."""
        if repair.wanted:
            self.repair(source, self._steps.answer_wanted(repair.wanted))
        if len(envelope.updates) >= BEHIND_REPAIR_COUNT:
            self._is_behind = True
            soon = active + self._limits.catch_up_interval
            self._next_start = min(self._next_start, soon)
