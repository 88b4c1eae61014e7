"""Entries of the replicated log, its members, and the messages between keepers."""

from dataclasses import dataclass
from enum import Enum
from typing import Final, NewType, TypeAlias

from persimmonusher_agreement.configuration_objects import Change, ConfigurationState

KeeperId = NewType("KeeperId", str)
"""`INSTANCE#DISK`: the instance and the random id of its data folder.

A wiped or replaced disk is another keeper. So the promises of the lost disk (votes, acknowledged
entries) are never attributed to the empty one."""


def find_instance(keeper: KeeperId) -> str:
    """Return the instance that a keeper runs on."""
    return keeper.rpartition("#")[0]


class MemberRole(Enum):
    """Whether a member counts for a majority."""

    VOTER = "voter"
    LEARNER = "learner"


@dataclass(frozen=True)
class Member:
    """One keeper as the log names it. `promote` asks the leader to make a learner a voter."""

    keeper: KeeperId
    address: str
    role: MemberRole
    promote: bool = False
    failure_domain: str = ""
    """Where the keeper runs, for followers that prefer a near one; empty if it isn't known."""


@dataclass(frozen=True)
class Members:
    """The members of the log; in force as soon as it is appended. Changed one voter at a time."""

    lineage: str
    """The random id of this fleet's log, made when the log was formed."""
    members: tuple[Member, ...]

    def list_voters(self) -> tuple[KeeperId, ...]:
        """List the keepers that count for a majority."""
        return tuple(m.keeper for m in self.members if m.role is MemberRole.VOTER)

    def find(self, keeper: KeeperId) -> Member | None:
        """Return the member with this id, or None."""
        return next((member for member in self.members if member.keeper == keeper), None)

    def has_majority(self, keepers: set[KeeperId]) -> bool:
        """Return whether these keepers hold more than half of the votes."""
        voters = self.list_voters()
        return 2 * sum(voter in keepers for voter in voters) > len(voters)


NO_MEMBERS = Members("", ())
NO_ANSWER: Final = 0


@dataclass(frozen=True)
class Noop:
    """The first entry of each leader's term: committing it commits all entries before it."""


Command: TypeAlias = Noop | Change | Members


@dataclass(frozen=True)
class Entry:
    """One entry of the log; the index starts at 1."""

    index: int
    term: int
    command: Command


@dataclass(frozen=True)
class Snapshot:
    """All state up to and including an index; it replaces the log up to there."""

    index: int
    term: int
    members: Members
    state: ConfigurationState


@dataclass(frozen=True)
class Vote:
    """The keeper's promise in a term: at most one candidate gets its vote."""

    term: int
    voted_for: KeeperId | None


@dataclass(frozen=True)
class Message:
    """The fields of every message. Only the keeper with the id `target` may process it."""

    source: KeeperId
    target: KeeperId
    term: int


@dataclass(frozen=True)
class PreVoteRequest(Message):
    """Ask whether a vote for `term` would be won, without raising any term."""

    last_index: int
    last_term: int


@dataclass(frozen=True)
class PreVoteReply(Message):
    """A granted reply carries the requested term, a refusal the voter's own."""

    granted: bool


@dataclass(frozen=True)
class VoteRequest(Message):
    """Request the receiver's vote in a term."""

    last_index: int
    last_term: int


@dataclass(frozen=True)
class VoteReply(Message):
    """Grant or refuse the vote of a term."""

    granted: bool


@dataclass(frozen=True)
class MajorityContact:
    """When a leader was last in contact with a majority, relative to an answer of the receiver."""

    answer: int
    """The number of the receiver's answer that arrived last."""
    lead: float
    """Seconds from the sending of the round that a majority answered to the arrival of that answer;
    negative if the round was sent after the arrival."""


@dataclass(frozen=True)
class AppendRequest(Message):
    """Entries after `previous_index`; without entries it is a heartbeat."""

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    """Number of the leader's round of heartbeats; answers to it confirm that it still leads."""
    contact: MajorityContact | None = None
    """None if the leader may not know all acknowledged entries."""


@dataclass(frozen=True)
class AppendReply(Message):
    """Answer to an `AppendRequest` or a `SnapshotRequest`.

    On success, `match` is the last index up to which the log is synced and equal to the leader's;
    otherwise it is a hint for where the leader should try next.
    """

    success: bool
    match: int
    round: int
    answer: int = NO_ANSWER
    """The sender's own number of this answer, which the leader's next message repeats."""


@dataclass(frozen=True)
class SnapshotRequest(Message):
    """Replace the log up to the snapshot's index; answered by an `AppendReply`."""

    snapshot: Snapshot
    round: int


LogMessage: TypeAlias = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
)
