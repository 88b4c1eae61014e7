"""One keeper's replica of the log: its role in a term, replication and commitment.

A state machine without I/O or clock. Events come in through `receive`, `advance` and `propose`;
`flush` makes durable what they changed and only then hands out the messages they caused, so that
no promise leaves before it would survive a crash. A StorageError ends the replica:
it has made no promise that isn't durable, and its owner starts a new one from the disk.
"""

from enum import Enum
from random import Random

from persimmonusher_agreement.durable_log import DurableLog
from persimmonusher_agreement.election_clock import ElectionClock
from persimmonusher_agreement.freshness import KeeperFreshness
from persimmonusher_agreement.log_candidacy import Candidacy
from persimmonusher_agreement.log_leadership import NEVER, Leadership
from persimmonusher_agreement.log_messages import (
    AppendReply,
    AppendRequest,
    Command,
    Entry,
    KeeperId,
    LogMessage,
    Members,
    Noop,
    PreVoteReply,
    PreVoteRequest,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from persimmonusher_agreement.log_storage import LogStorage
from persimmonusher_agreement.log_timing import LogTiming
from persimmonusher_model.errors import ErrorCode, UsherError


class ReplicaRole(Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LogReplica:
    """The log of one keeper and its part in elections."""

    def __init__(
        self,
        keeper: KeeperId,
        storage: LogStorage,
        timing: LogTiming,
        random: Random,
        now: float,
        copies: int = 1,
        first_answer: int = 1,
    ) -> None:
        self.keeper = keeper
        self._copies = copies
        self.role = ReplicaRole.FOLLOWER
        self.leader: KeeperId | None = None
        self.log = DurableLog(storage)
        self.commit = self.log.base_index
        self._applied = self.log.base_index
        self._timing = timing
        self._clock = ElectionClock(timing, random, now)
        self._outbox: list[LogMessage] = []
        self._installed = self.log.snapshot
        self._candidacy = Candidacy(keeper, self.log, self._outbox, self._clock)
        self._leadership: Leadership | None = None
        self._freshness = KeeperFreshness(first_answer)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.log.vote.term

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads its term, as far as it knows."""
        return self.role is ReplicaRole.LEADER

    @property
    def is_ready_leader(self) -> bool:
        """Tell whether it leads and has committed an entry of its own term."""
        return self.is_leader and self.log.find_term(self.commit) == self.term

    # Events

    def receive(self, message: LogMessage, now: float) -> None:
        """Take a message; one for another identity is dropped.

        Guards against a wiped keeper: what was sent to the lost disk's identity means nothing to
        the new one, which must not answer for promises that it doesn't know.
        """
        self._clock.move(now)
        if message.target == self.keeper:
            self._handle(message)

    def _handle(self, message: LogMessage) -> None:
        match message:
            case PreVoteRequest():
                self._candidacy.answer_pre_vote(message, self._hears_leader())
            case PreVoteReply():
                self._on_pre_vote_reply(message)
            case VoteRequest():
                self._on_vote_request(message)
            case VoteReply():
                self._on_vote_reply(message)
            case AppendRequest():
                self._on_append_request(message)
            case AppendReply():
                self._on_append_reply(message)
            case SnapshotRequest():
                self._on_snapshot_request(message)

    def advance(self, now: float) -> None:
        """Let time pass: heartbeats and the quorum check as leader, else the election timeout."""
        self._clock.move(now)
        if self._leadership is not None:
            self._advance_leader(self._leadership)
        elif self._clock.is_election_due():
            self._clock.draw_election_time()
            if self.keeper in self.log.members.list_voters():
                self._start_pre_vote()

    def propose(self, command: Command, now: float) -> int:
        """Append a command as leader and return its index; raise NOT_LEADER otherwise."""
        self._clock.move(now)
        if self._leadership is None:
            raise UsherError(ErrorCode.NOT_LEADER, f"{self.keeper} does not lead the keepers")
        if isinstance(command, Members):
            self._check_members(command)
        return self._append_own(self._leadership, command)

    def form(self, snapshot: Snapshot) -> None:
        """Begin a new log with its first snapshot; refused where there is a log already."""
        if self.log.last_index or self.log.members.members:
            raise UsherError(ErrorCode.CONFLICT, f"{self.keeper} holds a log already")
        self.log.save_vote(max(self.term, snapshot.term), self.log.vote.voted_for)
        self._install(snapshot)

    def start_read(self, now: float) -> int:
        """Begin to confirm that this replica still leads; return the round to ask for."""
        self._clock.move(now)
        if self._leadership is None or not self.is_ready_leader:
            raise UsherError(ErrorCode.NOT_LEADER, f"{self.keeper} does not lead the keepers")
        return self._leadership.start_round(self.commit)

    def is_confirmed(self, round: int) -> bool:
        """Tell whether a majority answered the round: all committed before it is known here."""
        return self._leadership is not None and self._leadership.is_confirmed(round)

    def list_caught_up(self) -> set[KeeperId]:
        """List the members whose log holds all that is committed; none but as leader."""
        if self._leadership is None:
            return set()
        return self._leadership.list_matching(self.commit)

    def list_silent(self, now: float, seconds: float) -> set[KeeperId]:
        """List the members that have not answered for so long; none but as leader."""
        return set() if self._leadership is None else self._leadership.list_silent(now, seconds)

    def find_majority_age(self, reading: float) -> float:
        """Return an age: all that was acknowledged longer ago than that is applied here.

        Hearing a leader isn't enough: it may have lost its majority, its messages may have been
        delayed, and this replica may not have caught up.
        """
        return reading - max(self._freshness.known_at, self._find_majority_contact(reading))

    def find_silence(self, reading: float) -> float:
        """Return the seconds since a leader spoke to this replica; 0 while it leads itself."""
        return 0.0 if self._leadership is not None else self._clock.find_leader_age(reading)

    def _find_majority_contact(self, reading: float) -> float:
        if self._leadership is None or not self.is_ready_leader:
            return NEVER
        return self._leadership.find_majority_contact(reading)

    def flush(self) -> tuple[LogMessage, ...]:
        """Make everything durable, advance the commit index, and return messages to send."""
        self.log.sync()
        if self._leadership is not None:
            self._advance_commit(self._leadership)
        self._freshness.settle(self._find_majority_contact(self._clock.reading))
        outbox = tuple(self._outbox)
        self._outbox.clear()
        return outbox

    def take_committed(self) -> tuple[Entry, ...]:
        """Return the entries committed since the last call, to be applied in order."""
        entries = self.log.list_from(self._applied + 1, self.commit - self._applied)
        self._applied = self.commit
        return entries

    def take_installed(self) -> Snapshot | None:
        """Return a snapshot that replaced the log since the last call."""
        installed, self._installed = self._installed, None
        return installed

    def compact(self, snapshot: Snapshot) -> None:
        """Let a snapshot of applied entries stand for them."""
        self.log.save_snapshot(snapshot)

    # Elections

    def _start_pre_vote(self) -> None:
        self.role = ReplicaRole.PRE_CANDIDATE
        self.leader = None
        if self._candidacy.ask_pre_votes():
            self._start_election()

    def _start_election(self) -> None:
        self.role = ReplicaRole.CANDIDATE
        if self._candidacy.ask_votes():
            self._lead()

    def _on_pre_vote_reply(self, message: PreVoteReply) -> None:
        if not message.granted:
            self._follow_higher_term(message.term)
            return
        is_asked_for = self.role is ReplicaRole.PRE_CANDIDATE and message.term == self.term + 1
        if is_asked_for and self._candidacy.add_vote(message.source):
            self._start_election()

    def _on_vote_request(self, message: VoteRequest) -> None:
        if message.term > self.term and self._hears_leader():
            return
        self._follow_higher_term(message.term)
        self._candidacy.answer_vote(message)

    def _on_vote_reply(self, message: VoteReply) -> None:
        self._follow_higher_term(message.term)
        if self.role is not ReplicaRole.CANDIDATE or message.term != self.term:
            return
        if not message.granted:
            if self._candidacy.note_refusal():
                self._clock.retry_after_split()
        elif self._candidacy.add_vote(message.source):
            self._lead()

    def _hears_leader(self) -> bool:
        """Tell whether a leader is alive here: then elections are refused as a disturbance."""
        return self.is_leader or self._clock.hears_leader()

    def _lead(self) -> None:
        self.role = ReplicaRole.LEADER
        self.leader = self.keeper
        leadership = Leadership(self.keeper, self.log, self._outbox, self._timing, self._clock)
        self._leadership = leadership
        self._append_own(leadership, Noop())

    def _follow(self, term: int, leader: KeeperId | None) -> None:
        if term > self.term:
            self.log.save_vote(term, None)
        self.role = ReplicaRole.FOLLOWER
        self.leader = leader
        self._leadership = None
        self._clock.draw_election_time()

    def _follow_higher_term(self, term: int) -> None:
        if term > self.term:
            self._follow(term, None)

    # Leading

    def _advance_leader(self, leadership: Leadership) -> None:
        """Send heartbeats and step down without a majority's answers.

        Guards against a leader that is silently cut off, one way or both: its followers elect
        another, and it must stop taking changes rather than keep operators waiting. An election
        timeout without answers from a majority shows the cut.
        """
        if leadership.has_lost_quorum(self._clock.now):
            self._follow(self.term, None)
        else:
            leadership.advance(self.commit)

    def _on_append_reply(self, message: AppendReply) -> None:
        self._follow_higher_term(message.term)
        if self._leadership is not None and message.term == self.term:
            self._leadership.take_reply(message, self.commit)

    def _advance_commit(self, leadership: Leadership) -> None:
        """Commit what a majority holds durably, and only entries of the own term.

        Guards against a lost commit: an entry of an earlier term that reached a majority can
        still be overwritten by a leader that never saw it. Committing an own entry after it
        rules such leaders out, as they lose the vote.
        """
        leadership.acknowledge_own()
        index = leadership.find_majority_match(self._copies)
        if index <= self.commit or self.log.find_term(index) != self.term:
            return
        self.commit = index
        if self.keeper not in self.log.members.list_voters() and index >= self.log.members_index:
            self._follow(self.term, None)
            return
        leadership.broadcast(self.commit)

    def _check_members(self, members: Members) -> None:
        """Refuse a change of members that could split the vote.

        Guards against two majorities without a common member: one voter at a time, each change
        committed before the next, and none before an entry of the own term is committed.
        """
        if not self.is_ready_leader or self.log.members_index > self.commit:
            raise UsherError(ErrorCode.UNAVAILABLE, "an earlier change of keepers is not committed")
        former, new = set(self.log.members.list_voters()), set(members.list_voters())
        if len(former ^ new) > 1 or not new:
            raise UsherError(ErrorCode.BAD_REQUEST, "voters are changed one at a time")

    # Following

    def _on_append_request(self, message: AppendRequest) -> None:
        if not self._accept_leader(message.source, message.term, message.round):
            return
        previous = message.previous_index
        beyond_base = previous >= self.log.base_index
        if beyond_base and self.log.find_term(previous) != message.previous_term:
            hint = self.log.find_hint(previous, self.commit)
            self._reply_append(message.source, False, hint, message.round)
            return
        self.log.merge(message.entries, self.commit)
        match = max(previous + len(message.entries), self.log.base_index)
        self.commit = max(self.commit, min(message.commit, match))
        if message.contact is not None and self.commit >= message.commit:
            self._freshness.take_contact(message.contact)
        self._reply_append(message.source, True, match, message.round)

    def _on_snapshot_request(self, message: SnapshotRequest) -> None:
        if not self._accept_leader(message.source, message.term, message.round):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            self._install(snapshot)
        self._reply_append(message.source, True, self.commit, message.round)

    def _install(self, snapshot: Snapshot) -> None:
        self.log.save_snapshot(snapshot)
        self.commit = self._applied = snapshot.index
        self._installed = snapshot

    def _accept_leader(self, leader: KeeperId, term: int, round: int) -> bool:
        if term < self.term:
            self._reply_append(leader, False, self.log.last_index, round)
            return False
        if term > self.term or self.leader != leader or self.role is not ReplicaRole.FOLLOWER:
            self._follow(term, leader)
        self._clock.hear_leader()
        return True

    def _reply_append(self, leader: KeeperId, success: bool, match: int, round: int) -> None:
        answer = self._freshness.number_answer(self._clock.reading)
        reply = AppendReply(self.keeper, leader, self.term, success, match, round, answer)
        self._outbox.append(reply)

    # Shared steps

    def _append_own(self, leadership: Leadership, command: Command) -> int:
        index = self.log.last_index + 1
        self.log.append((Entry(index, self.term, command),))
        leadership.follow_members()
        leadership.broadcast(self.commit)
        return index
