"""What one entry instance keeps about one server while it places work on it."""

from math import inf

from persimmonusher_decisions.advice import Asked
from persimmonusher_decisions.doubts import Doubts
from persimmonusher_decisions.evidence_messages import EjectionState, ServerEvidence
from persimmonusher_decisions.server import BackendServer, ServerState


class ServerTrack:
    """Mutable state of one server at one instance, read on the hot path without calls."""

    __slots__ = (
        "answered",
        "base",
        "bias",
        "closed_until",
        "connection_limit",
        "doubts",
        "draining",
        "failed",
        "inverse",
        "limit_named_at",
        "others",
        "out",
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
        "spared",
        "slots",
        "suspect_until",
        "suspected_at",
        "suspicions",
        "told_at",
        "turn_at",
        "timed",
    )

    def __init__(self, server: BackendServer, now: float) -> None:
        self.server = server
        self.server_id = server.server_id
        self.slots = max(1, server.slots)
        self.outstanding = 0
        self.others: float | None = None
        """Load of all other instances on it as last known, None before the first report."""
        self.penalty = 0.0
        self.base = 0.0
        self.inverse = 1.0 / self.slots
        self.bias = 0.0
        self.connection_limit = 1
        self.draining = False
        """Whether an answer of this boot said that the server is leaving."""
        self.ramp_from: float | None = None
        self.out: EjectionState | None = None
        self.reason = ""
        self.probe_at = now
        self.answered = 0
        self.failed = 0
        self.timed = 0
        self.slow = 0
        self.told_at = now
        self.doubts = Doubts()
        self.suspect_until = now
        """Passed by until then, as some instance has just seen it fail."""
        self.suspected_at = now
        """When it was last seen to fail."""
        self.suspicions = 0
        """Times that it was suspected in a row, each soon after the end of the last one."""
        self.closed_until = -inf
        """Gets nothing from this instance before that time, whatever the others' load: the later
        of `turn_at` and `resting_until`."""
        self.turn_at = -inf
        """When the next turn of this instance begins, where the server names a limit."""
        self.limit_named_at = -inf
        """When an answer last named a limit."""
        self.rate_limit: float | None = None
        """Requests a second that it takes from all instances, None where it names no limit."""
        self.resting_until = -inf
        """Wants nothing from this instance before that time, as it said."""
        self.spared = False
        """Whether it gets first attempts all the same, as too many are suspected."""

    @property
    def load(self) -> float:
        """Return the load for each slot that one more request would bring about."""
        return (self.outstanding + 1 + self.base) * self.inverse

    @property
    def known_load(self) -> float:
        """Return the requests in progress for each slot that are known of."""
        return (self.outstanding + (self.others or 0.0)) / self.slots

    def set_turn(self, at: float) -> None:
        """Give this instance its next turn at a moment."""
        self.turn_at = at
        self.closed_until = max(at, self.resting_until)

    def rest_until(self, until: float) -> None:
        """Send it nothing before a moment; a shorter rest doesn't end a longer one."""
        self.resting_until = max(self.resting_until, until)
        self.closed_until = max(self.turn_at, self.resting_until)

    def find_asked(self, now: float) -> Asked:
        """Return what it has asked for, the strictest of it."""
        if self.resting_until > now:
            return Asked.REST
        return Asked.NOTHING if self.rate_limit is None else Asked.LIMIT

    def may_take(self, now: float) -> bool:
        """Tell whether this instance may send it another request now."""
        return self.closed_until <= now and self.outstanding < self.connection_limit

    def is_suspected(self, now: float) -> bool:
        """Tell whether an instance has just seen it fail."""
        return self.suspect_until > now

    def is_passed_by(self, now: float) -> bool:
        """Tell whether first attempts go elsewhere for that."""
        return self.suspect_until > now and not self.spared

    @property
    def is_ready(self) -> bool:
        """Tell whether the server itself says that it takes work, in its latest word."""
        return self.server.state is ServerState.READY and not self.draining

    @property
    def is_abnormal(self) -> bool:
        """Tell whether evidence that wasn't sent yet speaks against the server."""
        return self.failed > 0 or self.slow > 0

    def take_evidence(self, now: float) -> ServerEvidence:
        """Return the evidence that wasn't sent yet and start anew."""
        line = ServerEvidence(self.server_id, self.answered, self.failed, self.timed, self.slow)
        self.answered = self.failed = self.timed = self.slow = 0
        self.told_at = now
        return line
