"""Which backend servers an instance reaches itself, and which only through another instance."""

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Final

MIN_LOST_SERVERS: Final = 2
"""Servers that must be lost, with none reached since, for the instance to count as cut off."""
DOWN_MEMORY_SECONDS: Final = 1.0
"""Time for which a server that no other instance reached is not looked for again through them."""
UNHELPED_SECONDS: Final = 0.5
"""Time for which other instances aren't asked again after none of them could help."""
PROBE_INTERVAL_SECONDS: Final = 0.5
"""Time between two probes of one server's direct way."""
PROBES_WHILE_CUT_OFF: Final = 2
"""Probes at a time while no server is reached: the first one that succeeds ends that state."""
MAX_PROBES: Final = 16
"""Probes at a time once some servers are reached."""
UNUSED_SECONDS: Final = 30.0
"""A lost way that no request needed for this long is forgotten: the server may be gone."""
MAX_REMEMBERED_LOSSES: Final = 4_096


class Verdict(Enum):
    """What other instances showed about a server to which no direct connection could be opened."""

    LOST = "lost"
    """Another instance reaches it: the own way is cut."""
    DOWN = "down"
    """Other instances don't reach it either."""
    UNKNOWN = "unknown"
    """No other instance could say."""


@dataclass(frozen=True)
class WayPlan:
    """The ways to try, in this order; with neither, the server can't be reached at present."""

    direct: bool
    relayed: bool


@dataclass
class FailedWay:
    """A server to which the last direct connection could not be opened."""

    verdict: Verdict
    failed_at: float
    used_at: float
    probe_at: float


class Ways:
    """The state of the ways from this instance to all servers, by their addresses.

    A connection that can't be opened doesn't show whether the server is down or the own way to it
    is cut. Another instance that opens one at the same time does. Once two servers are known to be
    reached by others only, and none has been reached since, the instance counts as cut off:
    it uses no direct connections to any server until a probe has opened one.

    >>> ways = Ways()
    >>> ways.record_failed("10.0.0.1:80", Verdict.LOST, now=5.0)
    >>> ways.plan("10.0.0.1:80", now=5.1)
    WayPlan(direct=False, relayed=True)
    >>> ways.record_opened("10.0.0.1:80", now=7.0)
    >>> ways.plan("10.0.0.1:80", now=7.1)
    WayPlan(direct=True, relayed=True)
    """

    def __init__(self) -> None:
        self._failed: dict[str, FailedWay] = {}
        self._missed: set[str] = set()
        """Servers whose ways were found to have failed, though they aren't known to be down, since
        a server was last reached."""
        self._unhelped_until = -inf
        self._lost_at: dict[str, float] = {}
        """When each way was last known to be lost, kept after its return."""
        self._cut_off_at = -inf
        """When the instance was last known to be cut off."""
        self.is_cut_off = False
        """Whether this instance reaches no server itself."""

    @property
    def lost_count(self) -> int:
        """Return the number of servers that this instance can't reach itself though others can."""
        return sum(way.verdict is Verdict.LOST for way in self._failed.values())

    def plan(self, address: str, now: float) -> WayPlan:
        """Return the ways by which to open a connection to a server."""
        may_ask = now >= self._unhelped_until
        way = self._failed.get(address)
        if way is not None:
            way.used_at = now
        if self.is_cut_off or (way is not None and way.verdict is Verdict.LOST):
            return WayPlan(False, may_ask)
        if way is None:
            return WayPlan(True, may_ask)
        return WayPlan(True, may_ask and not self.is_down(address, now))

    def record_opened(self, address: str, now: float) -> None:
        """Record that a direct connection was opened."""
        self._failed.pop(address, None)
        self._missed.clear()
        self._unhelped_until = -inf
        self.is_cut_off = False

    def record_failed(self, address: str, verdict: Verdict, now: float) -> None:
        """Record that no direct connection could be opened, and what other instances showed."""
        way = self._failed.get(address)
        is_new = way is None or way.verdict is Verdict.DOWN
        if way is None:
            probe_at = now + PROBE_INTERVAL_SECONDS
            way = self._failed[address] = FailedWay(verdict, now, now, probe_at)
        way.verdict = verdict
        if verdict is Verdict.DOWN:
            self._missed.discard(address)
        elif is_new:
            self._missed.add(address)
        self._record_loss(address, way, now)

    def record_unhelped(self, now: float) -> None:
        """Record that other instances were asked for a connection and none could say anything."""
        self._unhelped_until = now + UNHELPED_SECONDS

    def is_down(self, address: str, now: float) -> bool:
        """Return whether other instances could not reach a server either, a moment ago."""
        way = self._failed.get(address)
        return (
            way is not None
            and way.verdict is Verdict.DOWN
            and now < way.failed_at + DOWN_MEMORY_SECONDS
        )

    def record_probe_failed(self, address: str, now: float) -> None:
        """Record that a probe could not open a direct connection."""
        way = self._failed.get(address)
        if way is not None:
            self._record_loss(address, way, now)

    def was_lost_since(self, address: str, moment: float) -> bool:
        """Return whether the way to a server was known to be cut at any time since a moment."""
        return max(self._cut_off_at, self._lost_at.get(address, -inf)) >= moment

    def list_due_probes(self, now: float) -> list[str]:
        """Return the servers to which a direct connection should be tried now."""
        self._forget_unused(now)
        due = [
            address
            for address, way in self._failed.items()
            if way.probe_at <= now and way.verdict is not Verdict.DOWN
        ]
        due.sort(key=lambda address: self._failed[address].probe_at)
        chosen = due[: PROBES_WHILE_CUT_OFF if self.is_cut_off else MAX_PROBES]
        for address in chosen:
            self._failed[address].probe_at = now + PROBE_INTERVAL_SECONDS
        return chosen

    def has_failed(self, address: str) -> bool:
        """Return whether the last direct connection to a server could not be opened."""
        return address in self._failed

    def _forget_unused(self, now: float) -> None:
        for address, way in list(self._failed.items()):
            if now > way.used_at + UNUSED_SECONDS:
                del self._failed[address]
                self._missed.discard(address)
                self.is_cut_off = len(self._missed) >= MIN_LOST_SERVERS

    def _record_loss(self, address: str, way: FailedWay, now: float) -> None:
        way.failed_at = now
        self.is_cut_off = len(self._missed) >= MIN_LOST_SERVERS
        if self.is_cut_off:
            self._cut_off_at = now
        if way.verdict is Verdict.LOST:
            if len(self._lost_at) >= MAX_REMEMBERED_LOSSES:
                self._lost_at.clear()
            self._lost_at[address] = now
