"""One keeper's replica of the log: its role in a term, replication and commitment.

A state machine without network or clock; it writes to disk through `LogStorage`. Events come in
through `receive`, `advance` and `propose`; `flush` makes their changes durable and only then
returns the messages that they caused, so that no promise is sent before it would survive a crash.
After a StorageError the replica can't be used any more: it has made no promise that isn't durable,
and its owner starts a new one from the disk.
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
    """The role of a replica in its term."""

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
        """Return whether this replica leads its term, as far as it knows."""
        return self.role is ReplicaRole.LEADER

    @property
    def is_ready_leader(self) -> bool:
        """Return whether it leads and has committed an entry of its own term."""
        return self.is_leader and self.log.find_term(self.commit) == self.term

    # Events

    def receive(self, message: LogMessage, now: float) -> None:
        """Process a message; one for another keeper id is dropped.

        Guards against a wiped keeper: a message to the id of the lost disk isn't meant for the new
        one, which must not answer for promises that it doesn't know.
        """
        self._clock.move(now)
        if message.target == self.keeper:
            self._handle(message)

    def _handle(self, message: LogMessage) -> None:
        match message:
            case PreVoteRequest():
                self._on_pre_vote_request(message)
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
        """Run the timers: as leader heartbeats and the quorum check, else the election timeout."""
        self._clock.move(now)
        if self._leadership is not None:
            self._advance_leader(self._leadership)
        elif self._clock.is_election_due():
            # A pre-vote raises no term, so it is repeated sooner than an election: keepers that had
            # no majority may reach each other again at any time.
            self._clock.draw_election_time(self._timing.heartbeat_seconds)
            if self.keeper in self.log.members.list_voters():
                self._start_pre_vote()

    def propose(self, command: Command, now: float) -> int:
        """Append a command and return its index; raise NOT_LEADER if this replica doesn't lead."""
        self._clock.move(now)
        if self._leadership is None:
            raise UsherError(ErrorCode.NOT_LEADER, f"{self.keeper} does not lead the keepers")
        if isinstance(command, Members):
            self._check_members(command)
        return self._append_own(self._leadership, command)

    def form(self, snapshot: Snapshot) -> None:
        """Begin a new log with its first snapshot; raise CONFLICT if there is a log already."""
        if self.log.last_index or self.log.members.members:
            raise UsherError(ErrorCode.CONFLICT, f"{self.keeper} holds a log already")
        self.log.save_vote(max(self.term, snapshot.term), self.log.vote.voted_for)
        self._install(snapshot)

    def start_read(self, now: float) -> int:
        """Send a round of heartbeats to confirm that this replica still leads; return its number.

        The number is for `is_confirmed`. Raises NOT_LEADER unless this is a ready leader.
        """
        self._clock.move(now)
        if self._leadership is None or not self.is_ready_leader:
            raise UsherError(ErrorCode.NOT_LEADER, f"{self.keeper} does not lead the keepers")
        return self._leadership.start_round(self.commit)

    def is_confirmed(self, round: int) -> bool:
        """Return whether a majority answered the round.

        Then everything that was committed before the round is known here.
        """
        return self._leadership is not None and self._leadership.is_confirmed(round)

    def list_caught_up(self) -> set[KeeperId]:
        """List the members whose log holds all committed entries; empty unless leader."""
        if self._leadership is None:
            return set()
        return self._leadership.list_matching(self.commit)

    def list_silent(self, now: float, seconds: float) -> set[KeeperId]:
        """List the members that have not answered for more than `seconds`; empty unless leader."""
        return set() if self._leadership is None else self._leadership.list_silent(now, seconds)

    def find_majority_age(self, reading: float) -> float:
        """Return an upper bound on the staleness in seconds.

        Every change that was acknowledged longer ago than that is applied here. Hearing a leader
        isn't enough: it may have lost its majority, its messages may have been delayed, and this
        replica may not have caught up.
        """
        return reading - max(self._freshness.known_at, self._find_majority_contact(reading))

    def find_leader_silence(self, reading: float) -> float:
        """Return the seconds since the last message from a leader; 0 while this replica leads."""
        return 0.0 if self._leadership is not None else self._clock.find_leader_age(reading)

    def _find_majority_contact(self, reading: float) -> float:
        if self._leadership is None or not self.is_ready_leader:
            return NEVER
        return self._leadership.find_majority_contact(reading)

    def flush(self) -> tuple[LogMessage, ...]:
        """Make everything durable, advance the commit index, and return the messages to send."""
        self.log.sync()
        if self._leadership is not None:
            self._advance_commit(self._leadership)
        self._freshness.mark_applied(self._find_majority_contact(self._clock.reading))
        outbox = tuple(self._outbox)
        self._outbox.clear()
        return outbox

    def pop_committed(self) -> tuple[Entry, ...]:
        """Return the entries committed since the last call, to be applied in order."""
        entries = self.log.list_from(self._applied + 1, self.commit - self._applied)
        self._applied = self.commit
        return entries

    def pop_installed(self) -> Snapshot | None:
        """Return a snapshot that replaced the log since the last call."""
        installed, self._installed = self._installed, None
        return installed

    def compact(self, snapshot: Snapshot) -> None:
        """Replace applied entries by a snapshot of them."""
        self.log.save_snapshot(snapshot)

    # Elections

    def _start_pre_vote(self) -> None:
        self.role = ReplicaRole.PRE_CANDIDATE
        self.leader = None
        if self._candidacy.ask_pre_votes():
            self._start_election()

    def _start_election(self) -> None:
        self.role = ReplicaRole.CANDIDATE
        self._clock.draw_election_time()
        if self._candidacy.ask_votes():
            self._lead()

    def _on_pre_vote_request(self, message: PreVoteRequest) -> None:
        if message.source == self.leader and message.term > self.term:
            # It asks after it has led this term, so it has stepped down since.
            self.leader = None
            self._clock.forget_leader()
        self._candidacy.answer_pre_vote(message, self._has_live_leader())

    def _on_pre_vote_reply(self, message: PreVoteReply) -> None:
        if not message.granted:
            self._follow_higher_term(message.term)
            return
        is_asked_for = self.role is ReplicaRole.PRE_CANDIDATE and message.term == self.term + 1
        if is_asked_for and self._candidacy.add_vote(message.source):
            self._start_election()

    def _on_vote_request(self, message: VoteRequest) -> None:
        if message.term > self.term and self._has_live_leader():
            return
        self._follow_higher_term(message.term)
        self._candidacy.answer_vote(message)

    def _on_vote_reply(self, message: VoteReply) -> None:
        self._follow_higher_term(message.term)
        if self.role is not ReplicaRole.CANDIDATE or message.term != self.term:
            return
        if not message.granted:
            if self._candidacy.record_refusal():
                self._clock.retry_after_split()
        elif self._candidacy.add_vote(message.source):
            self._lead()

    def _has_live_leader(self) -> bool:
        """Return whether this replica leads or heard a leader lately; then it refuses elections."""
        return self.is_leader or self._clock.has_recent_leader()

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
            has_leader = self._has_live_leader()
            self._follow(term, None)
            if not has_leader:
                self._clock.draw_election_time(self._timing.heartbeat_seconds)

    # Leading

    def _advance_leader(self, leadership: Leadership) -> None:
        """Send heartbeats, or step down if no majority answers.

        Guards against a leader that is cut off without an error, in one direction or both: its
        followers elect another, and it must refuse changes rather than keep operators waiting. It
        detects the cut by an election timeout without answers from a majority.
        """
        if leadership.has_lost_quorum(self._clock.now):
            self._follow(self.term, None)
            # Its log may be the longest, so that nobody else can be elected by those that return.
            self._clock.draw_election_time(self._timing.heartbeat_seconds)
        else:
            leadership.advance(self.commit)

    def _on_append_reply(self, message: AppendReply) -> None:
        self._follow_higher_term(message.term)
        if self._leadership is not None and message.term == self.term:
            self._leadership.handle_reply(message, self.commit)

    def _advance_commit(self, leadership: Leadership) -> None:
        """Commit what a majority holds durably, but only through an entry of the own term.

        Guards against a lost commit: an entry of an earlier term that reached a majority can
        still be overwritten by a leader that never saw it. Once an entry of the own term after it
        is on a majority, such a candidate can't win an election any more.
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
        """Refuse a change of members that could allow two majorities without a common member.

        So voters change one at a time, each change is committed before the next, and the first one
        waits until an entry of the own term is committed.
        """
        if not self.is_ready_leader or self.log.members_index > self.commit:
            raise UsherError(ErrorCode.UNAVAILABLE, "an earlier change of keepers is not committed")
        former, new = set(self.log.members.list_voters()), set(members.list_voters())
        if len(former ^ new) > 1 or not new:
            raise UsherError(ErrorCode.BAD_REQUEST, "voters are changed one at a time")

    # Following

    def _on_append_request(self, message: AppendRequest) -> None:
        is_delayed = self._is_delayed(message)
        if not self._accept_leader(message.source, message.term, message.round, is_delayed):
            return
        previous = message.previous_index
        beyond_base = previous >= self.log.base_index
        if beyond_base and self.log.find_term(previous) != message.previous_term:
            hint = self.log.find_conflict_hint(previous, self.commit)
            self._reply_append(message.source, False, hint, message.round)
            return
        self.log.merge(message.entries, self.commit)
        match = max(previous + len(message.entries), self.log.base_index)
        self.commit = max(self.commit, min(message.commit, match))
        if message.contact is not None and self.commit >= message.commit:
            self._freshness.record_contact(message.contact)
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

    def _is_delayed(self, message: AppendRequest) -> bool:
        """Return whether a leader's message may have been sent over an election timeout ago.

        It was sent after the answer that it names was made.
        """
        answer = None if message.contact is None else message.contact.answer
        age = self._freshness.find_answer_age(answer, self._clock.reading)
        return age > self._timing.election_timeout_seconds

    def _accept_leader(
        self, leader: KeeperId, term: int, round: int, is_delayed: bool = False
    ) -> bool:
        """Follow the leader of this term or a later one; refuse that of an earlier term.

        A message that was held up in the network doesn't show that its sender still leads. It is
        answered, but delays no election.
        """
        if term < self.term:
            self._reply_append(leader, False, self.log.last_index, round)
            return False
        if is_delayed:
            self._follow_higher_term(term)
            return True
        if term > self.term or self.leader != leader or self.role is not ReplicaRole.FOLLOWER:
            self._follow(term, leader)
        self._clock.record_leader_contact()
        return True

    def _reply_append(self, leader: KeeperId, success: bool, match: int, round: int) -> None:
        answer = self._freshness.number_answer(self._clock.reading)
        reply = AppendReply(self.keeper, leader, self.term, success, match, round, answer)
        self._outbox.append(reply)

    # Shared steps

    def _append_own(self, leadership: Leadership, command: Command) -> int:
        index = self.log.last_index + 1
        self.log.append((Entry(index, self.term, command),))
        leadership.refresh_members()
        leadership.broadcast(self.commit)
        return index
