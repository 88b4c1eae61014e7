"""One instance's memory of claims: write-once registers with expiry.

A register that restarts has lost its records. If it granted again at once, a request could be
dispatched twice. So it abstains for a key until three of the key's four other registers have sent
it their records: a majority that included this register included two of those four, so any three
of the four hold at least one record of the claim. It grants without reading peers only if nothing
can be missing: if it runs with the boot that the roster lists, or has been up for longer than any
key window.
"""

import heapq
from dataclasses import replace
from typing import Final

from persimmonusher_agreement.claims import (
    ClaimRecord,
    ClaimRequest,
    RecordState,
    Settlement,
    ShareAnswer,
    ShareRequest,
    Vote,
    VoteKind,
)
from persimmonusher_agreement.roster import REGISTERS_PER_KEY, Roster, count_majority
from persimmonusher_model.identifiers import InstanceId

RELEASED_TOKEN_SECONDS: Final = 60.0
"""Time for which a released token is refused, so that its claim arriving late, after its release,
can't hold the key until the window ends. Longer than any claim is in transit."""
MAX_RECORDS: Final = 200_000
"""Keys held at most: at about 600 bytes each, 120 MB of the 256 MB for control. When full, the
register abstains rather than evict a record, which could let a request run twice."""


class _Entry:
    """A record with its deadlines on this register's monotonic clock."""

    __slots__ = ("expires", "granted_here", "pending_until", "record")

    def __init__(self, record: ClaimRecord, now: float, granted_here: bool) -> None:
        self.record = record
        self.granted_here = granted_here
        self.expires = now + record.expires_in
        self.pending_until = now + record.pending_for

    def export(self, now: float) -> ClaimRecord:
        """Return the record with its state and remaining times at `now`."""
        state = self.record.state
        if state is RecordState.PENDING and now >= self.pending_until:
            # The claimant crashed, froze or was cut off: no report of the request's end will come.
            state = RecordState.UNKNOWN
        return replace(
            self.record,
            state=state,
            expires_in=max(0.0, self.expires - now),
            pending_for=max(0.0, self.pending_until - now),
        )


class Register:
    """Holds the claims of the keys that rendezvous hashing assigns to this instance.

    A key normally has one record. It can have more only after a restart, when peers report
    different tokens; each is kept, since any of them may have had this register's lost vote.
    """

    def __init__(
        self, instance: InstanceId, boot: int, longest_window: float, started: float
    ) -> None:
        self._instance = instance
        self._boot = boot
        self._longest_window = longest_window
        self._started = started
        self._roster: Roster | None = None
        self._entries: dict[str, dict[str, _Entry]] = {}
        self._expiries: list[tuple[float, str, str]] = []
        self._released: dict[str, float] = {}
        self._peer_boots: dict[InstanceId, int] = {}
        self._answered: set[InstanceId] = set()
        self._newest_version = 0

    def replace_roster(self, roster: Roster) -> None:
        """Replace the roster by a newer one; an older one is ignored."""
        if self._roster is None or roster.version > self._roster.version:
            self._roster = roster
            listed = roster.find_boot(self._instance)
            if listed is not None and listed > self._boot:
                self._raise_boot(listed)

    @property
    def roster(self) -> Roster | None:
        """Return the roster in force here."""
        return self._roster

    @property
    def boot(self) -> int:
        """Return the number of this start; above that of every earlier start that it learnt of."""
        return self._boot

    @property
    def record_count(self) -> int:
        """Return the number of keys with a record."""
        return len(self._entries)

    def claim(self, request: ClaimRequest, now: float) -> Vote:
        """Grant the key if it is free, else return the record that holds it; may also abstain."""
        self._expire(now)
        if self._roster is None or request.roster_version > self._roster.version:
            return self._vote(VoteKind.ABSTAINED, request.key)
        if request.roster_version < self._roster.version:
            return self._vote(VoteKind.STALE_ROSTER, request.key)
        held = self._entries.get(request.key, {})
        for token, entry in held.items():
            if token != request.token:
                return self._vote(VoteKind.TAKEN, request.key, entry.export(now))
        own = held.get(request.token)
        if own is not None and own.granted_here:
            return self._vote(VoteKind.GRANTED, request.key)
        if not self._may_grant(request, now):
            # Abstain even if a peer has reported this very token: the peers that are still to be
            # read may report another one, which this register granted before it restarted.
            return self._vote(VoteKind.ABSTAINED, request.key)
        self._keep(_make_record(request), now, granted_here=True)
        return self._vote(VoteKind.GRANTED, request.key)

    def settle(self, settlement: Settlement, now: float) -> None:
        """Record how a request ended, or release its key if it was not run."""
        self._expire(now)
        if settlement.state is None:
            self._released[settlement.token] = now + RELEASED_TOKEN_SECONDS
            self._drop(settlement.key, settlement.token)
            return
        entry = self._entries.get(settlement.key, {}).get(settlement.token)
        if entry is None or entry.record.state is RecordState.FINISHED:
            return
        entry.record = replace(entry.record, state=settlement.state, answer=settlement.answer)

    def needs_share(self, now: float) -> bool:
        """Return whether records must still be read from peers."""
        return not self.has_all_records(now) and bool(self.list_unread_peers())

    def list_unread_peers(self) -> tuple[InstanceId, ...]:
        """List the peers from which no complete records have been read yet."""
        if self._roster is None:
            return ()
        unread = self._roster.list_instances() - self._answered - {self._instance}
        return tuple(sorted(unread))

    def make_share_request(self) -> ShareRequest:
        """Return the message that requests a peer's records."""
        version = self._roster.version if self._roster else 0
        return ShareRequest(self._instance, self._boot, version)

    def export_share(self, request: ShareRequest, now: float) -> ShareAnswer:
        """Return the records of the keys that a restarted register shares with this one."""
        self._expire(now)
        newest = max(request.boot, self._peer_boots.get(request.register, 0))
        self._peer_boots[request.register] = newest
        records = tuple(
            entry.export(now)
            for key, held in self._entries.items()
            if self._is_register(request.register, key)
            for entry in held.values()
        )
        trusted = self.has_all_records(now) and self._knows_version(request.roster_version)
        version = self._roster.version if self._roster else 0
        boots = dict(self._peer_boots)
        return ShareAnswer(self._instance, trusted, version, records, boots)

    def import_share(self, answer: ShareAnswer, now: float) -> None:
        """Store a peer's records; only a trusted answer counts the peer as read."""
        for record in answer.records:
            held = self._entries.get(record.key, {}).get(record.token)
            if held is None or record.state is RecordState.FINISHED:
                self._keep(record, now)
        for instance, boot in answer.known_boots.items():
            self._peer_boots[instance] = max(boot, self._peer_boots.get(instance, 0))
        self._newest_version = max(self._newest_version, answer.roster_version)
        if self._peer_boots.get(self._instance, 0) > self._boot:
            self._raise_boot(self._peer_boots[self._instance])
        elif answer.trusted:
            self._answered.add(answer.register)

    def has_all_records(self, now: float) -> bool:
        """Return whether no record that this register granted can be missing, for any key."""
        if now - self._started > self._longest_window:
            return True
        if self._roster is None or self._roster.version < self._newest_version:
            # A peer has a newer roster: claims under it may rely on grants of this register.
            return False
        if self._roster.find_boot(self._instance) == self._boot:
            return True
        size = min(REGISTERS_PER_KEY, len(self._roster.members))
        return len(self.list_unread_peers()) <= count_majority(size) - 2

    def _may_grant(self, request: ClaimRequest, now: float) -> bool:
        if request.token in self._released or len(self._entries) >= MAX_RECORDS:
            return False
        return self.has_all_records(now) or self._has_read_enough(request.key)

    def _raise_boot(self, known: int) -> None:
        """Raise the own boot above one that peers know, and read the peers again.

        Failure: the wall clock went back over a restart, so the number of this start is below that
        of an earlier one; votes of the earlier start would look newer and still count. After each
        start a register reads three of four peers before it grants, so it learns the earlier
        number.
        """
        self._boot = known + 1
        self._answered.clear()

    def _has_read_enough(self, key: str) -> bool:
        if self._roster is None or self._roster.version < self._newest_version:
            return False
        for group in self._roster.list_sets(key):
            others = len(group & self._answered)
            if self._instance in group and others < len(group) - count_majority(len(group)) + 1:
                return False
        return True

    def _knows_version(self, version: int) -> bool:
        # A peer with an older roster could still grant claims under it after it was read, and the
        # reader would never see those.
        return self._roster is not None and self._roster.version >= version

    def _is_register(self, register: InstanceId, key: str) -> bool:
        roster = self._roster
        return roster is not None and any(register in group for group in roster.list_sets(key))

    def _vote(self, kind: VoteKind, key: str, record: ClaimRecord | None = None) -> Vote:
        boots = {
            instance: boot
            for instance, boot in self._peer_boots.items()
            if self._is_register(instance, key)
        }
        return Vote(self._instance, self._boot, kind, record, boots)

    def _keep(self, record: ClaimRecord, now: float, granted_here: bool = False) -> None:
        entry = _Entry(record, now, granted_here)
        self._entries.setdefault(record.key, {})[record.token] = entry
        heapq.heappush(self._expiries, (entry.expires, record.key, record.token))

    def _drop(self, key: str, token: str) -> None:
        held = self._entries.get(key)
        if held is None:
            return
        held.pop(token, None)
        if not held:
            del self._entries[key]

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, key, token = heapq.heappop(self._expiries)
            entry = self._entries.get(key, {}).get(token)
            if entry is not None and entry.expires <= now:
                self._drop(key, token)
        while self._released:
            # Insertion order is expiry order, since every token is kept for the same time.
            token, until = next(iter(self._released.items()))
            if until > now:
                break
            del self._released[token]


def _make_record(request: ClaimRequest) -> ClaimRecord:
    return ClaimRecord(
        key=request.key,
        token=request.token,
        fingerprint=request.fingerprint,
        state=RecordState.PENDING,
        expires_in=request.expires_in,
        pending_for=request.pending_for,
    )
