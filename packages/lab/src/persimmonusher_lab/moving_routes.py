"""Routes that move between two services, and what each request shows of the version in force."""

import threading
from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from persimmonusher_lab.touch import IN_FORCE_SECONDS, FaultRecord

SERVICES: Final = ("s1", "s2")
ROUTES: Final = 24
"""Routes that move in turn, so that each keeps its service for some seconds."""


@dataclass(frozen=True)
class Version:
    """One version of the configuration, which moves one route. Times are readings of the clock."""

    number: int
    sent_at: float
    acknowledged_at: float = float("inf")

    @property
    def route(self) -> int:
        """Return the route that this version moves."""
        return self.number % ROUTES

    @property
    def service(self) -> str:
        """Return the service to which it moves the route."""
        return SERVICES[self.number // ROUTES % len(SERVICES)]


@dataclass(frozen=True)
class Sent:
    """One request of a caller."""

    attempt_id: str
    entry: str
    route: int
    sent_at: float
    answered_at: float
    status: int = 0
    """0 if no answer came."""


@dataclass(frozen=True)
class OldRun:
    """A request that was run as only versions before an acknowledged one allow."""

    request: Sent
    service: str
    version: Version
    bound: float | None
    """Time in which the version had to be in force; None while the entry wasn't in touch."""

    @property
    def age(self) -> float:
        """Return how long before the request the version was acknowledged, in seconds."""
        return self.request.sent_at - self.version.acknowledged_at

    @property
    def is_late(self) -> bool:
        """Return whether the request breaks the bound."""
        return self.bound is not None and self.age > self.bound


class MovingRoutes:
    """The versions that were sent, in order, and which routes to ask for."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.versions: list[Version] = []

    def add(self, at: float) -> Version:
        """Add the next version, which is about to be sent."""
        with self._lock:
            self.versions.append(Version(len(self.versions) + ROUTES, at))
            return self.versions[-1]

    def acknowledge(self, version: Version, at: float) -> None:
        """Record the acknowledgement of a version."""
        with self._lock:
            self.versions[version.number - ROUTES] = replace(version, acknowledged_at=at)

    def find_newest(self, before: float) -> int:
        """Return the highest version that was acknowledged before a reading; 0 if none was."""
        with self._lock:
            known = [one.number for one in self.versions if one.acknowledged_at < before]
        return max(known, default=0)

    def choose_route(self, now: float, random: Random) -> int | None:
        """Choose a route that moved lately: half of the time one that has just become due."""
        with self._lock:
            known = [one for one in self.versions[-ROUTES:] if one.acknowledged_at <= now]
        due = [one for one in known if one.acknowledged_at < now - IN_FORCE_SECONDS]
        if due and random.random() < 0.5:
            return due[-1].route
        return random.choice(known).route if known else None

    def list_services(self, version: int) -> list[str]:
        """List the service of each route, by number, in a version."""
        moved = {one.route: one.service for one in self.versions if one.number <= version}
        return [moved.get(route, SERVICES[0]) for route in range(ROUTES)]

    def find_old_runs(
        self, requests: Sequence[Sent], services: Mapping[str, str], faults: FaultRecord
    ) -> list[OldRun]:
        """List the requests that were run by a service of old.

        `services` names the service that ran each request, by its attempt id.
        """
        by_route: list[list[Version]] = [[] for _ in range(ROUTES)]
        for version in self.versions:
            by_route[version.route].append(version)
        judged = (
            self._judge(one, services[one.attempt_id], by_route[one.route], faults)
            for one in requests
            if one.attempt_id in services
        )
        return [old for old in judged if old is not None]

    def _judge(
        self, request: Sent, service: str, versions: Sequence[Version], faults: FaultRecord
    ) -> OldRun | None:
        """Return the latest version that the request should have obeyed and didn't."""
        count = bisect_right(versions, request.answered_at, key=lambda one: one.sent_at)
        for version in reversed(versions[:count]):
            if version.service == service:
                return None
            if version.acknowledged_at < request.sent_at:
                bound = faults.find_bound(request.entry, version.acknowledged_at, request.sent_at)
                return OldRun(request, service, version, bound)
        return None
