"""The leader's state in one term: the progress of each member, and the messages sent to them."""

from dataclasses import dataclass
from typing import Final

from persimmonusher_agreement.durable_log import DurableLog
from persimmonusher_agreement.election_clock import ElectionClock
from persimmonusher_agreement.log_messages import (
    NO_ANSWER,
    AppendReply,
    AppendRequest,
    KeeperId,
    LogMessage,
    MajorityContact,
    SnapshotRequest,
)
from persimmonusher_agreement.log_timing import LogTiming

MAX_BATCH_ENTRIES: Final = 256
"""Entries in one message at most, so that a replica far behind doesn't delay heartbeats."""
MAX_ROUNDS: Final = 64
"""Rounds whose send times are kept; the answer to an earlier round doesn't count as contact."""
NO_ROUND: Final = -1
NEVER: Final = float("-inf")


@dataclass
class Progress:
    """How far one member's log is known to reach."""

    match_index: int
    next_index: int
    heard_at: float
    round: int = NO_ROUND
    """The latest round that the member answered."""
    round_sent_at: float = NEVER
    """Reading of the clock when that round was sent."""
    answer: int = NO_ANSWER
    """The number of the member's answer that arrived last."""
    answer_at: float = NEVER
    """Reading of the clock when that answer arrived."""
    has_contact: bool = False
    """Whether the member was sent a `MajorityContact`, to compute its own freshness from."""
    snapshot_at: float = float("-inf")
    """No snapshot is sent to the member again before this time."""

    def acknowledge(self, match: int) -> None:
        """Record that the log equals the leader's up to `match`; late answers change nothing."""
        self.match_index = max(self.match_index, match)
        self.next_index = max(self.next_index, self.match_index + 1)

    def back_off(self, hint: int) -> None:
        """Move `next_index` back, at least by one and at most to just after the match.

        Called when the member's log differs before `next_index`; `hint` is the member's proposal
        for the last index that both logs may share.
        """
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, hint + 1))


class Leadership:
    """Progress of each member, rounds of heartbeats, and the quorum check of one term.

    It adds its messages to the outbox of its replica. Only the members that are in force in the log
    count for a majority.
    """

    def __init__(
        self,
        keeper: KeeperId,
        log: DurableLog,
        outbox: list[LogMessage],
        timing: LogTiming,
        clock: ElectionClock,
    ) -> None:
        self.round = 0
        self._clock = clock
        self._sent_at = {0: clock.reading}
        """Reading of the clock when each of the latest rounds was sent."""
        self._keeper = keeper
        self._term = log.vote.term
        self._log = log
        self._outbox = outbox
        self._timing = timing
        self._heartbeat_at = clock.now + timing.heartbeat_seconds
        self._progress = {keeper: Progress(0, log.last_index + 1, clock.now)}
        self.refresh_members()

    def refresh_members(self) -> None:
        """Start tracking new members and stop tracking those that were removed."""
        members = {member.keeper for member in self._log.members.members}
        for keeper in members:
            new = Progress(0, self._log.last_index + 1, self._clock.now)
            self._progress.setdefault(keeper, new)
        for keeper in set(self._progress) - members - {self._keeper}:
            del self._progress[keeper]

    def advance(self, commit: int) -> None:
        """Send a round of heartbeats when it is due."""
        if self._clock.now >= self._heartbeat_at:
            self._heartbeat_at = self._clock.now + self._timing.heartbeat_seconds
            self.start_round(commit)

    def start_round(self, commit: int) -> int:
        """Send a new round to all members and return its number."""
        self.round += 1
        self._sent_at[self.round] = self._clock.reading
        self._sent_at.pop(self.round - MAX_ROUNDS, None)
        self.broadcast(commit)
        return self.round

    def broadcast(self, commit: int) -> None:
        """Send each member the entries that it is not known to have."""
        for member in self._log.members.members:
            if member.keeper != self._keeper:
                self._send(member.keeper, commit)

    def handle_reply(self, reply: AppendReply, commit: int) -> None:
        """Process a member's answer of this term, and send what the member still lacks."""
        progress = self._progress.get(reply.source)
        if progress is None:
            return
        progress.heard_at = self._clock.now
        progress.answer, progress.answer_at = reply.answer, self._clock.reading
        self._record_round(progress, reply.round)
        if reply.success:
            progress.acknowledge(reply.match)
        else:
            progress.back_off(reply.match)
        is_behind = not reply.success or progress.next_index <= self._log.last_index
        if is_behind or self._needs_contact(progress, commit):
            self._send(reply.source, commit)

    def _needs_contact(self, progress: Progress, commit: int) -> bool:
        """Return whether to send a member its first `MajorityContact` before the next heartbeat.

        Otherwise a member whose answer arrives after the leader's first entry is committed would
        count as stale for a heartbeat interval after each election.
        """
        return not progress.has_contact and self._describe_contact(progress, commit) is not None

    def _record_round(self, progress: Progress, round: int) -> None:
        """Record that a member has answered a round.

        The member had voted for no later leader when it answered. So when the round was sent, no
        later leader had been elected with its vote.
        """
        sent_at = self._sent_at.get(round)
        if round > progress.round and sent_at is not None:
            progress.round = round
            progress.round_sent_at = sent_at

    def _send(self, peer: KeeperId, commit: int) -> None:
        progress = self._progress[peer]
        previous = progress.next_index - 1
        previous_term = self._log.find_term(previous)
        if previous_term is None:
            self._send_snapshot(peer, progress)
            return
        entries = self._log.list_from(progress.next_index, MAX_BATCH_ENTRIES)
        progress.next_index += len(entries)
        contact = self._describe_contact(progress, commit)
        progress.has_contact |= contact is not None
        request = AppendRequest(
            self._keeper,
            peer,
            self._term,
            previous,
            previous_term,
            entries,
            commit,
            self.round,
            contact,
        )
        self._outbox.append(request)

    def _describe_contact(self, progress: Progress, commit: int) -> MajorityContact | None:
        """Return what a member needs to compute its own freshness, or None if it isn't known.

        Until an entry of its own term is committed, a leader may not know all entries that earlier
        leaders acknowledged.
        """
        contact_at = self.find_majority_contact(self._clock.reading)
        is_known = contact_at != NEVER and progress.answer != NO_ANSWER
        if not is_known or self._log.find_term(commit) != self._term:
            return None
        return MajorityContact(progress.answer, progress.answer_at - contact_at)

    def _send_snapshot(self, peer: KeeperId, progress: Progress) -> None:
        snapshot = self._log.snapshot
        if snapshot is None or self._clock.now < progress.snapshot_at:
            return
        progress.snapshot_at = self._clock.now + self._timing.snapshot_retry_seconds
        self._outbox.append(SnapshotRequest(self._keeper, peer, self._term, snapshot, self.round))

    def acknowledge_own(self) -> None:
        """Count the own log like a member's answer; call it once the log is synced."""
        self._progress[self._keeper].acknowledge(self._log.last_index)

    def find_majority_match(self, copies: int) -> int:
        """Return the highest index that a majority of voters, and at least `copies`, hold durably.

        Guards against lost disks: of 3 voters a majority is 2, and when both lose their disks, what
        they acknowledged is gone. With one copy more than the number of disks that may be lost at
        once, one copy always survives. With fewer voters than `copies`, all voters must hold it.
        """
        voters = self._log.members.list_voters()
        matches = sorted((self._progress[voter].match_index for voter in voters), reverse=True)
        if not matches:
            return 0
        return matches[max(len(matches) // 2, min(copies, len(matches)) - 1)]

    def list_silent(self, now: float, seconds: float) -> set[KeeperId]:
        """List the other members that have not answered for more than `seconds`."""
        return {
            keeper
            for keeper, item in self._progress.items()
            if keeper != self._keeper and now - item.heard_at > seconds
        }

    def find_majority_contact(self, reading: float) -> float:
        """Return when the latest round that a majority answered was sent, as a clock reading.

        The time of sending counts, not that of the answer's arrival: the answer may have been long
        in transit, and its sender may have voted for another leader meanwhile.
        """
        voters = self._log.members.list_voters()
        sent = [reading if v == self._keeper else self._progress[v].round_sent_at for v in voters]
        sent.sort(reverse=True)
        return sent[len(sent) // 2] if sent else NEVER

    def list_matching(self, index: int) -> set[KeeperId]:
        """List the members known to hold the log durably up to an index."""
        return {keeper for keeper, item in self._progress.items() if item.match_index >= index}

    def has_lost_quorum(self, now: float) -> bool:
        """Return whether no majority has answered within the last election timeout."""
        since = now - self._timing.election_timeout_seconds
        heard = {keeper for keeper, item in self._progress.items() if item.heard_at >= since}
        return not self._log.members.has_majority(heard | {self._keeper})

    def is_confirmed(self, round: int) -> bool:
        """Return whether a majority answered this round of heartbeats or a later one."""
        answered = {keeper for keeper, item in self._progress.items() if item.round >= round}
        return self._log.members.has_majority(answered | {self._keeper})
