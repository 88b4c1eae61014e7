"""Invariants of membership and the directory, checked on a virtual fleet."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_lab.virtual_fleet import (
    MAX_ANNOUNCEMENT_GAP_SECONDS,
    VirtualFleet,
    VirtualInstance,
)
from persimmonusher_model.identifiers import ServerId

MIN_HEARD_SECONDS: Final = 12.0
"""More than twice the heartbeat timeout. No instance may hold a server as lost whose announcements
entries have received for longer than this, without a gap and until lately."""
MAX_VIOLATIONS: Final = 20
"""One broken mechanism violates a rule at every later step, so only the first few are kept."""


@dataclass(frozen=True)
class Violation:
    """A broken rule, with where and when it was broken."""

    now: float
    rule: str
    place: str
    detail: str

    def __str__(self) -> str:
        return f"{self.now:.3f} {self.place}: {self.rule}: {self.detail}"


class FleetChecker:
    """Checks each instance after each of its steps, and the whole fleet on request."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self._fleet = fleet
        self._newest: dict[tuple[int, int, ServerId], tuple[int, ...]] = {}
        self._checked: dict[int, tuple[int, int]] = {}
        self.steps = 0
        self.violations: list[Violation] = []
        fleet.on_step = self.check_step

    def check_step(self, instance: VirtualInstance) -> None:
        """Check that no freshness went back and that no announcing server is held as lost."""
        self.steps += 1
        changes = (instance.start_number, instance.fleet.directory.changes)
        if self._checked.get(instance.number) == changes:
            return
        self._checked[instance.number] = changes
        for server_id, server in self._fleet.servers.items():
            record = instance.fleet.directory.find(server_id)
            if record is None:
                continue
            self._check_freshness(instance, record)
            heard_long = self._fleet.now - server.announced_since > MIN_HEARD_SECONDS
            heard_lately = self._fleet.now - server.last_announced_at < MAX_ANNOUNCEMENT_GAP_SECONDS
            if record.lost and heard_long and heard_lately:
                self._report("an announcing server is lost", instance.name, repr(record.version))

    def check_members(self) -> None:
        """Check that each running instance holds exactly the running instances as live."""
        running = {one.name for one in self._fleet.list_running()}
        for instance in self._fleet.list_running():
            live = set(instance.fleet.members.live)
            if live != running:
                detail = f"missing {sorted(running - live)}, too many {sorted(live - running)}"
                self._report("the live instances differ", instance.name, detail)

    def check_state(
        self, server_id: ServerId, state: ServerState, leave_out: Iterable[int] = ()
    ) -> None:
        """Check that each running instance knows the server's state, or a later one."""
        left_out = set(leave_out)
        for instance in self._fleet.list_running():
            record = instance.fleet.directory.find(server_id)
            known = record is not None and (record.lost or record.state >= state)
            if not known and instance.number not in left_out:
                detail = f"{server_id} should be {state.name}, is {record}"
                self._report("a change of state did not arrive", instance.name, detail)

    def check_gone(self, server_id: ServerId) -> None:
        """Check that no running instance lists the server."""
        for instance in self._fleet.list_running():
            for service in instance.fleet.directory.list_services():
                listed = instance.fleet.directory.list_servers(service)
                if any(record.server_id == server_id for record in listed):
                    self._report("a server that is gone is listed", instance.name, server_id)

    def check_listed(self, server_id: ServerId) -> None:
        """Check that every running instance lists the server."""
        service = self._fleet.servers[server_id].record.service
        for instance in self._fleet.list_running():
            listed = instance.fleet.directory.list_servers(service)
            if all(record.server_id != server_id for record in listed):
                self._report("a live server is not listed", instance.name, server_id)

    def check_agreement(self) -> None:
        """Check that all running instances hold the same live records."""
        digests = {one.fleet.digest for one in self._fleet.list_running()}
        if len(digests) > 1:
            self._report("digests differ", "fleet", f"{len(digests)} digests")

    def _check_freshness(self, instance: VirtualInstance, record: ServerRecord) -> None:
        place = (instance.number, instance.start_number, record.server_id)
        before = self._newest.get(place, ())
        if record.version < before:
            detail = f"{record.server_id} from {before} to {record.version}"
            self._report("freshness went back", instance.name, detail)
        self._newest[place] = record.version

    def _report(self, rule: str, place: str, detail: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(self._fleet.now, rule, place, detail))
