"""The time of a replica of the log: bounded steps, the last word of a leader, the next election."""

from random import Random

from persimmonusher_agreement.log_timing import LogTiming


class ElectionClock:
    """Time as elections see it. `now` moves by bounded steps; `reading` is the clock's own."""

    def __init__(self, timing: LogTiming, random: Random, reading: float) -> None:
        self._timing = timing
        self._random = random
        self.now = reading
        self.reading = reading
        self._leader_seen = float("-inf")
        self._leader_reading = float("-inf")
        self._election_at = reading
        self._splits = 0
        """Split votes since a leader was heard."""
        self.draw_election_time(timing.first_election)

    def move(self, reading: float) -> None:
        """Take the time that passed since the last event, within bounds.

        Guards against a clock that jumps. Back, it would stop heartbeats and elections until it
        caught up; forward, it would depose a healthy leader. Times decide only when something is
        tried, never what is true, so a wrong one costs at most a needless election.
        """
        passed = reading - self.reading
        self.reading = reading
        self.now += min(max(passed, 0.0), self._timing.election_timeout / 2)

    def hear_leader(self) -> None:
        """Take that a leader has just spoken."""
        self._leader_seen = self.now
        self._leader_reading = self.reading
        self._splits = 0
        self.draw_election_time()

    def hears_leader(self) -> bool:
        """Tell whether a leader spoke within the last election timeout."""
        return self.now - self._leader_seen < self._timing.election_timeout

    def find_leader_age(self, reading: float) -> float:
        """Return the seconds since a leader spoke, as the difference of two readings of the clock.

        Guards against a pause of the process: `now` leaves out what is beyond half an election
        timeout, for good. Held against it, the clock would show a keeper as out of touch by all its
        pauses together, for the rest of its life, and entries would leave it.
        """
        return reading - self._leader_reading

    def is_election_due(self) -> bool:
        """Tell whether the replica has waited for a leader for long enough."""
        return self.now >= self._election_at

    def draw_election_time(self, shortest: float | None = None) -> None:
        """Choose by chance when to stand for election, so that replicas don't all do at once."""
        shortest = self._timing.election_timeout if shortest is None else shortest
        self._election_at = self.now + shortest * (1 + self._random.random())

    def retry_after_split(self) -> None:
        """Stand again soon after a split vote, later with each one that follows it.

        Guards against candidates that tie again and again: were the range of the wait as short as
        the steps in which they see the time, they would never part.
        """
        timing = self._timing
        shortest = min(timing.election_timeout, timing.split_vote * 2**self._splits)
        self._splits += 1
        wait = shortest * (1 + self._random.random())
        self._election_at = min(self._election_at, self.now + wait)
