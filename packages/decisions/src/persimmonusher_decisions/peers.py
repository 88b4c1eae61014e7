"""The evidence on a service's servers from one point of view, each compared with its peers."""

from collections.abc import Iterable
from statistics import median
from typing import Final

from persimmonusher_decisions.detection import (
    LENIENCY_FACTOR,
    MIN_USUAL_FAILING_SHARE,
    MIN_USUAL_SLOW_SHARE,
    SLICE_SECONDS,
    Sensitivity,
    SequentialTest,
    choose_faulty_failing_share,
    choose_faulty_slow_share,
)
from persimmonusher_decisions.evidence_messages import ServerEvidence
from persimmonusher_model.identifiers import ServerId

RECENT_MEMORY_SECONDS: Final = 0.3
"""Memory of the recent shares: three slices. A common cause must raise the usual share before the
test of any single server crosses its threshold; with a longer memory, servers that the cause
reaches first would be ejected for it."""
LASTING_MEMORY_SECONDS: Final = 15.0
"""Memory of the lasting shares, which smooth over the few answers of a quiet service."""
MIN_ANSWERS: Final = 2.0
"""Decayed count of answers below which a server's share isn't used for the median."""
MAX_USUAL_SHARE: Final = 0.9
SATURATED_SLOW_SHARE: Final = 0.6
"""Usual share of slow answers from which slowness isn't evaluated: the service is saturated, and
which server is the slowest depends only on queues."""
COMMON_CAUSE_SHARE: Final = 0.08
"""Median failing share of the servers from which a common cause is reported."""


class Share:
    """A share of bad answers with exponential decay."""

    __slots__ = ("bad", "keep", "total")

    def __init__(self, memory_seconds: float) -> None:
        self.keep = 1.0 - SLICE_SECONDS / memory_seconds
        self.bad = 0.0
        self.total = 0.0

    def add(self, bad: int, total: int) -> None:
        """Decay by one slice and add its answers."""
        self.bad = self.bad * self.keep + bad
        self.total = self.total * self.keep + total

    @property
    def value(self) -> float:
        """Return the share, or 0 if there were no answers."""
        return self.bad / self.total if self.total > 0.0 else 0.0


class Symptom:
    """The evidence that a server is failing, or that it is slow, from one point of view."""

    __slots__ = ("bad", "lasting", "recent", "test", "total")

    def __init__(self) -> None:
        self.bad = 0
        self.total = 0
        self.recent = Share(RECENT_MEMORY_SECONDS)
        self.lasting = Share(LASTING_MEMORY_SECONDS)
        self.test = SequentialTest()

    def add(self, bad: int, total: int) -> None:
        """Add answers to the open slice."""
        self.bad += bad
        self.total += total

    def remember(self) -> None:
        """Add the open slice to the recent and the lasting share."""
        self.recent.add(self.bad, self.total)
        self.lasting.add(self.bad, self.total)

    def open_slice(self) -> None:
        """Start a new slice."""
        self.bad = 0
        self.total = 0

    def reset(self) -> None:
        """Drop all evidence against the server, for example after its restart."""
        self.open_slice()
        self.recent = Share(RECENT_MEMORY_SECONDS)
        self.lasting = Share(LASTING_MEMORY_SECONDS)
        self.test.reset()


class ServerView:
    """The evidence on one server from one point of view."""

    __slots__ = ("failing", "slow")

    def __init__(self) -> None:
        self.failing = Symptom()
        self.slow = Symptom()

    @property
    def score(self) -> float:
        """Return the stronger symptom's score; 1 is the threshold."""
        return max(self.failing.test.score, self.slow.test.score)

    def reset(self) -> None:
        """Drop all evidence against the server."""
        self.failing.reset()
        self.slow.reset()


class View:
    """The evidence on all servers of a service, from one failure domain or from all together."""

    def __init__(self) -> None:
        self.servers: dict[ServerId, ServerView] = {}
        self.usual_failing = MIN_USUAL_FAILING_SHARE
        self.usual_slow = MIN_USUAL_SLOW_SHARE
        self.median_failing = 0.0

    def keep_servers(self, server_ids: Iterable[ServerId]) -> None:
        """Drop the servers that aren't in `server_ids`."""
        known = set(server_ids)
        for server_id in [name for name in self.servers if name not in known]:
            del self.servers[server_id]

    def add(self, evidence: ServerEvidence) -> None:
        """Add one digest's line on one server."""
        server = self.servers.get(evidence.server_id)
        if server is None:
            server = self.servers[evidence.server_id] = ServerView()
        server.failing.add(evidence.failed, evidence.answered)
        server.slow.add(evidence.slow, evidence.timed)

    def close_slice(self, sensitivity: Sensitivity) -> None:
        """Compare each server's open slice with the usual shares of its peers, and start a new one.

        A deployment, a shared dependency or the observers' own network may make many servers look
        faulty at the same moment. Ejecting them would remove healthy servers for a cause that
        follows the work to the next server. So the usual share is the median over the servers, of
        the lasting or of the recent shares, whichever is higher: fewer than half of the servers
        can't move it, and it moves at once when more are affected.
        """
        for server in self.servers.values():
            server.failing.remember()
            server.slow.remember()
        self._learn_usual()
        faulty_failing = choose_faulty_failing_share(self.usual_failing, sensitivity.least_failing)
        faulty_slow = choose_faulty_slow_share(self.usual_slow)
        failing_cap = 1.0 / sensitivity.failing_slices
        slow_cap = 1.0 / sensitivity.slow_slices
        scale = sensitivity.threshold
        for server in self.servers.values():
            failing, slow = server.failing, server.slow
            failing.test.add(
                failing.bad, failing.total, self.usual_failing, faulty_failing, failing_cap, scale
            )
            if self.usual_slow < SATURATED_SLOW_SHARE:
                slow.test.add(slow.bad, slow.total, self.usual_slow, faulty_slow, slow_cap, scale)
            failing.open_slice()
            slow.open_slice()

    def _learn_usual(self) -> None:
        failing = [server.failing for server in self.servers.values()]
        slow = [server.slow for server in self.servers.values()]
        self.median_failing = _find_median([item.recent for item in failing])
        self.usual_failing = max(MIN_USUAL_FAILING_SHARE, _find_usual(failing))
        self.usual_slow = max(MIN_USUAL_SLOW_SHARE, _find_usual(slow))


def _find_usual(symptoms: list[Symptom]) -> float:
    lasting = LENIENCY_FACTOR * _find_median([item.lasting for item in symptoms])
    return min(MAX_USUAL_SHARE, max(lasting, _find_median([item.recent for item in symptoms])))


def _find_median(shares: list[Share]) -> float:
    known = [share.value for share in shares if share.total >= MIN_ANSWERS]
    return median(known) if known else 0.0
