"""The state that an entry instance keeps for each backend server of a service."""

from math import inf

from persimmonusher_decisions.advice import Asked
from persimmonusher_decisions.doubts import Doubts
from persimmonusher_decisions.evidence_messages import EjectionState, ServerEvidence
from persimmonusher_decisions.server import BackendServer, ServerState


class ServerTrack:
    """Mutable state of one server at one instance; the hot path reads its attributes directly.

    `base_load`, `inverse_slots` and `far_load` are the precomputed parts of the placement score.
    `answered`, `failed`, `timed` and `slow` count evidence for the next digest.
    """

    __slots__ = (
        "answered",
        "base_load",
        "far_load",
        "closed_until",
        "connection_limit",
        "doubts",
        "draining",
        "failed",
        "idle_since",
        "inverse_slots",
        "limit_named_at",
        "other_load",
        "others_requests",
        "others_seconds",
        "ejection_state",
        "episodes",
        "failed_at",
        "fails_often",
        "outstanding",
        "penalty",
        "rate_limit",
        "resting_until",
        "probe_at",
        "ramp_from",
        "reason",
        "server",
        "server_id",
        "slow",
        "kept_by_floor",
        "slots",
        "speed",
        "suspect_until",
        "suspected_at",
        "failed_trials",
        "trial_at",
        "trials_from",
        "evidence_sent_at",
        "turn_at",
        "usual_requests",
        "usual_seconds",
        "timed",
        "work_seconds",
    )

    def __init__(self, server: BackendServer, now: float) -> None:
        self.server = server
        self.server_id = server.server_id
        self.slots = max(1, server.slots)
        self.outstanding = 0
        self.other_load: float | None = None
        """Requests of all other instances in progress there, as last reported and decayed toward
        the mean of all servers; None before the first report."""
        self.work_seconds = 0.0
        """Expected service time of this instance's requests in progress, in seconds."""
        self.others_requests = 0.0
        self.others_seconds = 0.0
        """Expected requests of all other instances in progress there, and their service time, if
        the sums of all instances are known."""
        self.usual_requests = 0.0
        self.usual_seconds = 0.0
        """Moving averages of the two over the last sums."""
        self.speed = 1.0
        """Speed relative to the service's other servers."""
        self.penalty = 0.0
        self.base_load = 0.0
        self.inverse_slots = 1.0 / self.slots
        self.far_load = 0.0
        self.connection_limit = 1
        self.idle_since: list[float] = []
        """When this instance's idle connections were used last, in rising order."""
        self.draining = False
        """Whether an answer of this boot said that the server is leaving."""
        self.episodes = 0.0
        """Weight of the server's failure episodes at `failed_at`, see `FailureMemory`."""
        self.failed_at = -inf
        """When the last failure episode began."""
        self.fails_often = False
        """Whether requests that can't be repeated prefer other servers."""
        self.ramp_from: float | None = None
        self.ejection_state: EjectionState | None = None
        self.reason = ""
        self.probe_at = now
        self.answered = 0
        self.failed = 0
        self.timed = 0
        self.slow = 0
        self.evidence_sent_at = now
        self.doubts = Doubts()
        self.suspect_until = now
        """End of the current suspicion; until then first attempts avoid the server, except trials,
        unless `kept_by_floor`."""
        self.suspected_at = now
        """When the server was last suspected, because an instance saw it fail."""
        self.failed_trials = 0
        """Trials of the current suspicion that failed, in a row."""
        self.trials_from = inf
        """When the instances may begin to send the server trial requests."""
        self.trial_at = inf
        """When this instance may next send the server a single request although it is suspected."""
        self.closed_until = -inf
        """The later of `turn_at` and `resting_until`: this instance sends nothing before it,
        however loaded the other servers are."""
        self.turn_at = -inf
        """When this instance's next turn begins, if the server has a rate limit."""
        self.limit_named_at = -inf
        """When an answer last named a rate limit."""
        self.rate_limit: float | None = None
        """Requests per second that the server accepts from all instances together; None for no
        limit."""
        self.resting_until = -inf
        """End of the rest that the server asked this instance for."""
        self.kept_by_floor = False
        """Whether it gets first attempts although suspected, as too many servers are suspected."""

    @property
    def load(self) -> float:
        """Return the load per slot that one more request would result in, penalty included."""
        return (self.outstanding + 1 + self.base_load) * self.inverse_slots

    @property
    def known_load(self) -> float:
        """Return the known requests in progress per slot, without the penalty."""
        return (self.outstanding + (self.other_load or 0.0)) / self.slots

    def set_turn(self, at: float) -> None:
        """Set when this instance's next turn begins."""
        self.turn_at = at
        self.closed_until = max(at, self.resting_until)

    def rest_until(self, until: float) -> None:
        """Send nothing to the server before `until`; a shorter rest doesn't end a longer one."""
        self.resting_until = max(self.resting_until, until)
        self.closed_until = max(self.turn_at, self.resting_until)

    def find_asked(self, now: float) -> Asked:
        """Return the strictest restriction that the server has asked for and that still holds."""
        if self.resting_until > now:
            return Asked.REST
        return Asked.NOTHING if self.rate_limit is None else Asked.LIMIT

    def may_take(self, now: float) -> bool:
        """Return whether this instance may send another request to the server now."""
        return self.closed_until <= now and self.outstanding < self.connection_limit

    def is_suspected(self, now: float) -> bool:
        """Return whether the server is suspected, because an instance recently saw it fail."""
        return self.suspect_until > now

    def is_avoided(self, now: float) -> bool:
        """Return whether first attempts avoid the server: suspected, and not kept in use."""
        return self.suspect_until > now and not self.kept_by_floor

    @property
    def is_ready(self) -> bool:
        """Return whether the server accepts work, by its announcements and its latest answers."""
        return self.server.state is ServerState.READY and not self.draining

    @property
    def is_abnormal(self) -> bool:
        """Return whether there is unsent evidence against the server."""
        return self.failed > 0 or self.slow > 0

    def pop_evidence(self, now: float) -> ServerEvidence:
        """Return the unsent evidence and reset its counts."""
        line = ServerEvidence(self.server_id, self.answered, self.failed, self.timed, self.slow)
        self.answered = self.failed = self.timed = self.slow = 0
        self.evidence_sent_at = now
        return line
