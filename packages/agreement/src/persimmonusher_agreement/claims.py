"""Claims on Idempotency-Keys: at most one dispatch for each key within its window.

Each key has a set of write-once registers, one on each of five entry instances (`roster`). An
entry instance dispatches a request only with the grants of a majority, so two entries can't both
dispatch. Claims need no keeper.

A `ClaimRound` is one instance's attempt to claim a key; a `Register` is one instance's memory of
claims. Neither does I/O.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from persimmonusher_agreement.roster import Roster, has_majority
from persimmonusher_model.identifiers import InstanceId


class RecordState(Enum):
    """How far the request with a key has got."""

    PENDING = "pending"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ClaimRecord:
    """What a register holds for one key."""

    key: str
    token: str
    """Identifies one attempt of one instance; never reused."""
    fingerprint: str
    state: RecordState
    expires_in: float
    """Seconds until the record expires; relative, since clocks differ."""
    pending_for: float
    """Seconds until a PENDING request must have ended; after that its outcome is unknown."""
    answer: bytes = b""
    """The encoded answer of a FINISHED request."""


@dataclass(frozen=True)
class ClaimRequest:
    """Asks a register to grant the key to the token."""

    key: str
    token: str
    fingerprint: str
    roster_version: int
    expires_in: float
    pending_for: float


class VoteKind(Enum):
    """A register's answer to a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    """Another token holds the key; the vote carries its record."""
    ABSTAINED = "abstained"
    """The register neither grants nor refuses: it may lack records after a restart, has an older
    roster, is full, or the token was released."""
    STALE_ROSTER = "stale-roster"
    """The claimant's roster is older than the register's: the claimant must catch up first."""


@dataclass(frozen=True)
class Vote:
    """A register's answer, with the boots of those peers that it knows to have restarted."""

    register: InstanceId
    boot: int
    kind: VoteKind
    record: ClaimRecord | None = None
    known_boots: Mapping[InstanceId, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Settlement:
    """Reports to registers how the request with a token ended; `state` None releases the key."""

    key: str
    token: str
    state: RecordState | None
    answer: bytes = b""


@dataclass(frozen=True)
class ShareRequest:
    """A restarted register's request for a peer's records of the keys that both hold."""

    register: InstanceId
    boot: int
    roster_version: int


@dataclass(frozen=True)
class ShareAnswer:
    """A peer's records of the keys that both hold.

    `trusted` is False if the peer may lack records itself, or has an older roster than the asker.
    """

    register: InstanceId
    trusted: bool
    roster_version: int
    records: tuple[ClaimRecord, ...]
    known_boots: Mapping[InstanceId, int] = field(default_factory=dict)


class RoundStatus(Enum):
    """The state of a claim."""

    OPEN = "open"
    GRANTED = "granted"
    TAKEN = "taken"
    NO_QUORUM = "no-quorum"


class ClaimRound:
    """One attempt to claim a key: counts votes until a majority of each register set granted it.

    A register's vote counts only if the register hasn't restarted since. Otherwise two tokens could
    be granted one key: register R grants the key and restarts; R reads its records back from its
    peers before this claim reached them, finds nothing, and grants the key to another token; then
    those peers grant this claim, and both tokens count R. Any majority with R includes two of R's
    four peers, and R reads three of them. So at least one of the two either sent R the record of
    this claim or learnt R's new boot before it voted here, and its vote carries that boot. A peer
    that restarts itself reads the known boots back together with the records.
    """

    def __init__(self, request: ClaimRequest, roster: Roster) -> None:
        self.request = request
        self._sets = roster.list_sets(request.key)
        self._votes: dict[InstanceId, Vote] = {}
        self._boots: dict[InstanceId, int] = {}
        self._failed: set[InstanceId] = set()

    @property
    def registers(self) -> frozenset[InstanceId]:
        """Return all registers whose votes count, of all sets."""
        return frozenset().union(*self._sets)

    def receive(self, vote: Vote) -> RoundStatus:
        """Count a vote and return the status; a second vote of a register replaces its first."""
        if vote.register in self.registers:
            self._votes[vote.register] = vote
            for instance, boot in vote.known_boots.items():
                self._boots[instance] = max(boot, self._boots.get(instance, 0))
        return self.status

    def miss(self, register: InstanceId) -> RoundStatus:
        """Record that a register didn't answer, and return the status."""
        self._failed.add(register)
        return self.status

    @property
    def status(self) -> RoundStatus:
        """Return the state of the claim, from the votes so far."""
        if has_majority(self._list_grants(), self._sets):
            return RoundStatus.GRANTED
        record = self.find_record()
        if record is not None and record.state is RecordState.FINISHED:
            return RoundStatus.TAKEN
        if self._can_still_win():
            return RoundStatus.OPEN
        return RoundStatus.NO_QUORUM if record is None else RoundStatus.TAKEN

    @property
    def is_stale(self) -> bool:
        """Return whether a register had a newer roster than the claim."""
        return any(vote.kind is VoteKind.STALE_ROSTER for vote in self._votes.values())

    def find_record(self) -> ClaimRecord | None:
        """Return another claim's record: a finished one if any, else unknown, then pending."""
        order = {RecordState.FINISHED: 0, RecordState.UNKNOWN: 1, RecordState.PENDING: 2}
        taken = [vote.record for vote in self._votes.values() if vote.record is not None]
        return min(taken, key=lambda record: order[record.state], default=None)

    def _list_grants(self) -> frozenset[InstanceId]:
        return frozenset(
            register
            for register, vote in self._votes.items()
            if vote.kind is VoteKind.GRANTED and vote.boot >= self._boots.get(register, 0)
        )

    def _can_still_win(self) -> bool:
        answered = frozenset(self._votes) | frozenset(self._failed)
        return has_majority(self._list_grants() | (self.registers - answered), self._sets)
