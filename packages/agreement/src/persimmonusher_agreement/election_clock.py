"""The election timers of a replica: bounded time steps, last leader contact, next election."""

from random import Random

from persimmonusher_agreement.log_timing import LogTiming


class ElectionClock:
    """The time used for elections.

    `reading` is the last reading of the process's clock; `now` follows it in bounded steps.
    """

    def __init__(self, timing: LogTiming, random: Random, reading: float) -> None:
        self._timing = timing
        self._random = random
        self.now = reading
        self.reading = reading
        self._leader_heard_at = float("-inf")
        self._leader_heard_reading = float("-inf")
        self._election_at = reading
        self._split_votes = 0
        """Split votes since the last message from a leader."""
        self.draw_election_time(timing.first_election_seconds)

    def move(self, reading: float) -> None:
        """Advance `now` by the time since the last reading, within bounds.

        Guards against a clock that jumps. A jump back would stop heartbeats and elections until the
        clock caught up; a jump forward would depose a healthy leader. Times only decide when to
        try something, never which state is correct, so a wrong time costs at most a needless
        election.
        """
        passed = reading - self.reading
        self.reading = reading
        self.now += min(max(passed, 0.0), self._timing.election_timeout_seconds / 2)

    def record_leader_contact(self) -> None:
        """Record that a message from the leader has just arrived."""
        self._leader_heard_at = self.now
        self._leader_heard_reading = self.reading
        self._split_votes = 0
        self.draw_election_time()

    def forget_leader(self) -> None:
        """Let elections begin although a leader was heard lately, as it leads no more."""
        self._leader_heard_at = float("-inf")

    def has_recent_leader(self) -> bool:
        """Return whether a message from a leader arrived within the last election timeout."""
        return self.now - self._leader_heard_at < self._timing.election_timeout_seconds

    def find_leader_age(self, reading: float) -> float:
        """Return the seconds since the last message from a leader, by two readings of the clock.

        Guards against pauses of the process: `now` permanently leaves out the part of a pause that
        is beyond half an election timeout. Compared with `now`, a reading would show the keeper as
        out of contact by the sum of all its pauses until it restarts, and entries would leave it.
        """
        return reading - self._leader_heard_reading

    def is_election_due(self) -> bool:
        """Return whether the wait for a leader is over, so that an election may start."""
        return self.now >= self._election_at

    def draw_election_time(self, shortest: float | None = None) -> None:
        """Draw the time of the next election at random, so that replicas don't stand all at once.

        The wait is between one and two times `shortest`, by default the election timeout.
        """
        shortest = self._timing.election_timeout_seconds if shortest is None else shortest
        self._election_at = self.now + shortest * (1 + self._random.random())

    def retry_after_split(self) -> None:
        """Schedule the next election soon after a split vote, with exponential backoff.

        Without the backoff, candidates could tie again and again: if the range of the wait were as
        short as the steps in which they read the time, they would always stand together.
        """
        timing = self._timing
        shortest = min(
            timing.election_timeout_seconds, timing.split_vote_wait_seconds * 2**self._split_votes
        )
        self._split_votes += 1
        wait = shortest * (1 + self._random.random())
        self._election_at = min(self._election_at, self.now + wait)
