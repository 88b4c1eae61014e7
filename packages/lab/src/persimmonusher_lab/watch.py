"""Watches the fleet through the operators' interface while a demo or test runs.

It samples what each instance reports of itself and of the backend servers, so that a floor broken
for a moment, a revision that went back, or a false ejection is seen when it happens.
"""

import math
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import TracebackType
from typing import Final, Self

from persimmonusher_ctl.client import OperatorClient
from persimmonusher_lab.promises import PromiseResult
from persimmonusher_model.errors import UsherError
from persimmonusher_protocol import operator_pb2 as pb

SAMPLE_INTERVAL_SECONDS: Final = 0.4
READY: Final = "ready"


@dataclass(frozen=True)
class Exclusion:
    """A server that announces itself as ready and that one instance gives no work to."""

    at: float
    instance_id: str
    server_id: str
    reason: str


@dataclass
class Observations:
    """What the watch has observed so far."""

    samples: int = 0
    failed_samples: int = 0
    exclusions: list[Exclusion] = field(default_factory=list)
    floor_breaks: list[str] = field(default_factory=list)
    reverts: list[str] = field(default_factory=list)
    revisions: dict[str, int] = field(default_factory=dict)
    first_seen: dict[tuple[str, int], float] = field(default_factory=dict)
    """When an instance was first seen at, or above, a revision."""


class FleetWatch:
    """Samples the fleet in a thread until its context is left."""

    def __init__(
        self, make_client: Callable[[], OperatorClient], floor_percents: Mapping[str, int]
    ) -> None:
        self._make_client = make_client
        self._floor_percents = floor_percents
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.observations = Observations()

    def record_servers(self, found: pb.ServerList, now: float) -> None:
        """Record one sample of the servers."""
        views: dict[tuple[str, str], list[pb.ServerView]] = {}
        for server in found.servers:
            for view in server.views:
                if view.state != READY:
                    continue
                views.setdefault((view.instance_id, server.service), []).append(view)
                if not view.taking_work:
                    self.observations.exclusions.append(
                        Exclusion(now, view.instance_id, server.server_id, view.reason)
                    )
        for (instance_id, service), own in views.items():
            self._check_floor(instance_id, service, own)

    def _check_floor(self, instance_id: str, service: str, views: list[pb.ServerView]) -> None:
        floor = math.ceil(len(views) * self._floor_percents.get(service, 0) / 100)
        taking = sum(view.taking_work for view in views)
        if taking < floor:
            self.observations.floor_breaks.append(
                f"{instance_id} gives work to {taking} of {len(views)} ready servers of {service}"
            )

    def record_instances(self, found: pb.InstanceList, now: float) -> None:
        """Record one sample of the instances' revisions."""
        seen = self.observations
        for item in found.instances:
            if not item.answered:
                continue
            before = seen.revisions.get(item.instance_id, 0)
            if item.revision < before:
                seen.reverts.append(f"{item.instance_id} from {before} to {item.revision}")
            seen.revisions[item.instance_id] = item.revision
            for revision in range(before + 1, item.revision + 1):
                seen.first_seen[(item.instance_id, revision)] = now

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_INTERVAL_SECONDS):
            try:
                client = self._make_client()
                self.record_servers(client.list_servers(""), time.monotonic())
                self.record_instances(client.list_instances(), time.monotonic())
                self.observations.samples += 1
            except (UsherError, OSError):
                self.observations.failed_samples += 1

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop.set()
        self._thread.join(timeout=15.0)


def check_floor(seen: Observations) -> PromiseResult:
    """Check that no instance withheld work from more ready servers than the floor allows."""
    broken = sorted(set(seen.floor_breaks))
    figure = f"{len(broken)} breaks in {seen.samples} samples {'; '.join(broken[:2])}".rstrip()
    return PromiseResult("the floor holds", not broken and seen.samples > 0, figure)


def check_no_revert(seen: Observations) -> PromiseResult:
    """Check that no instance's revision went back."""
    figure = f"{len(seen.reverts)} reverts in {seen.samples} samples {'; '.join(seen.reverts[:2])}"
    held = not seen.reverts and seen.samples > 0
    return PromiseResult("configuration never reverts", held, figure.rstrip())
