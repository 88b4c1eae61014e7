"""Elections of the replicated log: the votes that a replica requests and the votes it grants."""

from collections.abc import Iterable

from persimmonusher_agreement.durable_log import DurableLog
from persimmonusher_agreement.election_clock import ElectionClock
from persimmonusher_agreement.log_messages import (
    KeeperId,
    LogMessage,
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)


class Candidacy:
    """Requests and counts votes, and answers the vote requests of other keepers.

    It adds its messages to the outbox of its replica, which decides when to start an election and
    what to do with a majority.
    """

    def __init__(
        self, keeper: KeeperId, log: DurableLog, outbox: list[LogMessage], clock: ElectionClock
    ) -> None:
        self._keeper = keeper
        self._log = log
        self._outbox = outbox
        self._clock = clock
        self._votes: set[KeeperId] = set()
        self._is_refused = False
        """Whether a vote was refused since votes were last requested."""

    def ask_pre_votes(self) -> bool:
        """Request pre-votes; return True if the own vote is a majority already.

        Guards against a keeper that returns from hours of isolation: if it raised its term at each
        timeout, it would depose a healthy leader on its return. A pre-vote raises no term, and
        keepers that hear a leader refuse it.
        """
        log = self._log
        term = log.vote.term + 1
        return self._ask(
            PreVoteRequest(self._keeper, peer, term, log.last_index, log.last_term)
            for peer in self._list_other_voters()
        )

    def ask_votes(self) -> bool:
        """Vote for itself in the next term and request the other votes.

        Return True if the own vote is a majority already.
        """
        log = self._log
        log.save_vote(log.vote.term + 1, self._keeper)
        return self._ask(
            VoteRequest(self._keeper, peer, log.vote.term, log.last_index, log.last_term)
            for peer in self._list_other_voters()
        )

    def add_vote(self, voter: KeeperId) -> bool:
        """Count a granted vote or pre-vote; return whether a majority granted theirs."""
        self._votes.add(voter)
        return self._log.members.has_majority(self._votes)

    def record_refusal(self) -> bool:
        """Record that a vote was refused; return whether it is the first in this election."""
        is_first, self._is_refused = not self._is_refused, True
        return is_first

    def answer_pre_vote(self, request: PreVoteRequest, has_live_leader: bool) -> None:
        """Answer whether this keeper would grant its vote for the requested term."""
        term = self._log.vote.term
        granted = (
            request.term > term
            and not has_live_leader
            and self._log.is_newer_or_equal(request.last_term, request.last_index)
        )
        answered = request.term if granted else term
        self._outbox.append(PreVoteReply(self._keeper, request.source, answered, granted))

    def answer_vote(self, request: VoteRequest) -> None:
        """Grant or refuse the vote of a term; the own term must be raised to it before."""
        vote = self._log.vote
        granted = (
            request.term == vote.term
            and vote.voted_for in (None, request.source)
            and self._log.is_newer_or_equal(request.last_term, request.last_index)
        )
        if granted and vote.voted_for is None:
            self._log.save_vote(vote.term, request.source)
        if granted:
            self._clock.draw_election_time()
        self._outbox.append(VoteReply(self._keeper, request.source, vote.term, granted))

    def _ask(self, requests: Iterable[LogMessage]) -> bool:
        self._votes = {self._keeper}
        self._is_refused = False
        if self._log.members.has_majority(self._votes):
            return True
        self._outbox.extend(requests)
        return False

    def _list_other_voters(self) -> list[KeeperId]:
        return [voter for voter in self._log.members.list_voters() if voter != self._keeper]
