"""Claims on Idempotency-Keys: at most one dispatch for each key within its window.

Each key has a set of write-once registers, one on each of five entry instances (`roster`). An
entry instance dispatches a request only with the grants of a majority, so two entries can't both
dispatch. Claims need no keeper.

A `ClaimRound` is one instance's try; a `Register` is one instance's memory. Neither does I/O.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from persimmonusher_agreement.roster import Roster, has_majority
from persimmonusher_model.identifiers import InstanceId


class RecordState(Enum):
    """How far the request under a key has come."""

    PENDING = "pending"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ClaimRecord:
    """What a register holds under one key."""

    key: str
    token: str
    """Names one try of one instance; never used again."""
    fingerprint: str
    state: RecordState
    expires_in: float
    """Seconds for which the record is still kept; relative, since clocks differ."""
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
    """Another token holds the key; the record is in the vote."""
    ABSTAINED = "abstained"
    """The register lost its memory, or knows an older roster; it neither grants nor refuses."""
    STALE_ROSTER = "stale-roster"
    """The claimant's roster is older than the register's: it must catch up first."""


@dataclass(frozen=True)
class Vote:
    """A register's answer, with the boots of peers it knows to have restarted."""

    register: InstanceId
    boot: int
    kind: VoteKind
    record: ClaimRecord | None = None
    known_boots: Mapping[InstanceId, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Settlement:
    """Tells registers how the request under a token ended; `state` None gives the key back."""

    key: str
    token: str
    state: RecordState | None
    answer: bytes = b""


@dataclass(frozen=True)
class ShareRequest:
    """A restarted register asks a peer for the records that both hold."""

    register: InstanceId
    boot: int
    roster_version: int


@dataclass(frozen=True)
class ShareAnswer:
    """A peer's records of the asker's share; `trusted` False means that it lost its own."""

    register: InstanceId
    trusted: bool
    roster_version: int
    records: tuple[ClaimRecord, ...]
    known_boots: Mapping[InstanceId, int] = field(default_factory=dict)


class RoundStatus(Enum):
    """Where a claim stands."""

    OPEN = "open"
    GRANTED = "granted"
    TAKEN = "taken"
    NO_QUORUM = "no-quorum"


class ClaimRound:
    """One try to claim a key: counts votes until a majority of each register set granted it.

    A vote from a register counts only under the boot that it still runs. Without that, this could
    happen: register R grants the key and restarts; R reads its share back from peers before this
    claim reached them, finds nothing, and grants the key to another token; then those peers grant
    this one, and both tokens count R. Any majority with R holds two of R's four peers, and R reads
    three of them, so at least one of the two either told R of this claim or learnt R's new boot
    before it voted here, and says so in its vote. A peer that itself restarts reads known boots
    back together with the records.
    """

    def __init__(self, request: ClaimRequest, roster: Roster) -> None:
        self.request = request
        self._sets = roster.list_sets(request.key)
        self._votes: dict[InstanceId, Vote] = {}
        self._boots: dict[InstanceId, int] = {}
        self._failed: set[InstanceId] = set()

    @property
    def registers(self) -> frozenset[InstanceId]:
        """Return every register to ask."""
        return frozenset().union(*self._sets)

    def receive(self, vote: Vote) -> RoundStatus:
        """Count a vote; a second vote of the same register replaces its first."""
        if vote.register in self.registers:
            self._votes[vote.register] = vote
            for instance, boot in vote.known_boots.items():
                self._boots[instance] = max(boot, self._boots.get(instance, 0))
        return self.status

    def miss(self, register: InstanceId) -> RoundStatus:
        """Count a register that didn't answer."""
        self._failed.add(register)
        return self.status

    @property
    def status(self) -> RoundStatus:
        """Return where the claim stands."""
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
        """Tell whether a register knew a newer roster."""
        return any(vote.kind is VoteKind.STALE_ROSTER for vote in self._votes.values())

    def find_record(self) -> ClaimRecord | None:
        """Return the record that tells most of another claim: finished, unknown, then pending."""
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
