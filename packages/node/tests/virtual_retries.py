"""A fleet of entries on virtual time, whose retries are checked against the fleet's bound."""

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from entry_settings import make_entry_settings

from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_decisions.work import Dispatch, Outcome, OutcomeKind, Request
from persimmonusher_model.clock import ManualClock
from persimmonusher_model.identifiers import (
    CallerId,
    FailureDomain,
    InstanceId,
    RequestId,
    ServerId,
    ServiceName,
)
from persimmonusher_model.profile import Profile
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.memory import MemoryConfiguration, MemoryDirectory
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import Instance
from persimmonusher_node.services import ServiceBook
from persimmonusher_node.settings_bounds import USED_RETRY_FRACTION
from persimmonusher_node.tiers.entry_daemon import make_follower
from persimmonusher_node.tiers.entry_ports import FollowedMembership
from persimmonusher_protocol import control_pb2

SERVICE = ServiceName("entries")
SERVERS = 12
RATIO = 0.2
WINDOW_SECONDS = 10.0
TICK_SECONDS = 0.05
REFUSED = Outcome(OutcomeKind.REFUSED, 0.001)
GOOD = Outcome(OutcomeKind.SUCCESS, 0.02)


@dataclass
class Fleet:
    """The entries, and the moments of all requests and further attempts of one service."""

    count: int
    slack: float
    rate: float
    """Requests per second to all entries together."""
    seed: int
    entries: dict[int, "Entry"] = field(default_factory=dict)
    clock: ManualClock = field(default_factory=lambda: ManualClock(1000.0))
    requests: list[float] = field(default_factory=list)
    further: list[float] = field(default_factory=list)
    failing: float = 0.0
    """Probability that servers refuse an attempt."""

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.profile = Profile(
            retry_budget_percent=int(100.0 * USED_RETRY_FRACTION * RATIO),
            retry_slack=self.slack,
            max_retries=1,
        )
        for number in range(self.count):
            self.start(number, self.count)

    def start(self, number: int, counted: int = 0) -> None:
        """Start an entry's process, which is told the number of entries; 0 for not yet."""
        self.entries[number] = Entry(self, number, counted)

    def kill(self, numbers: Sequence[int]) -> None:
        """End processes without notice."""
        for number in numbers:
            del self.entries[number]

    def tell(self, counted: int, numbers: Sequence[int] | None = None) -> None:
        """Tell some entries, or all, how many entries there are."""
        for number in self.entries if numbers is None else numbers:
            self.entries[number].tell(counted)

    def run(self, seconds: float) -> None:
        """Let callers send requests to random entries for some time."""
        for step in range(round(seconds / TICK_SECONDS)):
            self.clock.advance(TICK_SECONDS)
            for entry in self.entries.values():
                entry.tick(step % 20 == 0)
            for _ in range(self._draw_requests()):
                self.entries[self.random.choice(list(self.entries))].call()

    def find_excess(self) -> float:
        """Return by how many further attempts the worst window exceeds what is allowed."""
        worst = float("-inf")
        for index, begin in enumerate(self.further):
            end = begin + WINDOW_SECONDS
            sent = bisect_left(self.further, end) - index
            requests = max(
                self._count_requests(begin - back, end - back) for back in (0.0, 5.0, 10.0)
            )
            worst = max(worst, sent - (RATIO * requests + self.slack))
        return worst

    def _count_requests(self, begin: float, end: float) -> int:
        return bisect_left(self.requests, end) - bisect_right(self.requests, begin)

    def _draw_requests(self) -> int:
        mean = self.rate * TICK_SECONDS
        return int(mean) + (self.random.random() < mean % 1.0)


class Entry:
    """One entry's process: its services, and the number of entries that its keeper reported."""

    def __init__(self, fleet: Fleet, number: int, counted: int) -> None:
        self._fleet = fleet
        own_id = InstanceId(f"entry-{number}")
        domain = FailureDomain(f"d{number % 4}")
        settings, channels = make_entry_settings("127.0.0.1:1"), ChannelPool("peers")
        view = ConfigurationClient(settings, channels, fleet.clock, fleet.random)
        self._follower = make_follower(settings, view, channels, fleet.clock, fleet.random)
        own = Instance(own_id, domain, "10.1.0.1:80", ("entry",))
        membership = FollowedMembership(own, self._follower)
        configuration = MemoryConfiguration({"entries.example": SERVICE}, {SERVICE: fleet.profile})
        directory = MemoryDirectory()
        for server in range(SERVERS):
            directory.announce(_make_server(server))
        random = Random(fleet.seed * 1000 + number)
        self._services = ServiceBook(
            configuration, directory, membership, own_id, domain, fleet.clock, random
        )
        self.tell(counted)
        self._services.refresh_entry_count()

    def tell(self, counted: int) -> None:
        """Take an update of a keeper that counts so many entries; 0 for none."""
        if counted:
            update = control_pb2.FollowUpdate(majority_age_ms=1, entries=counted)
            self._follower.apply_update(update)

    def tick(self, refresh: bool) -> None:
        """Do the periodic work; `refresh` once a second."""
        if refresh:
            self._services.refresh_entry_count()
        self._services.advance(lambda live, decision: None, refresh)

    def call(self) -> None:
        """Serve one request, with a second attempt where a server refuses the first one."""
        now = self._fleet.clock.monotonic()
        live = self._services.get(SERVICE)
        assert live is not None
        self._fleet.requests.append(now)
        name = RequestId(str(len(self._fleet.requests)))
        request = Request(name, CallerId("c"), "lookup", True, now, now + 10.0, name)
        dispatch = live.traffic.offer(request, now)
        if not isinstance(dispatch, Dispatch):
            live.traffic.withdraw(request)
            return
        outcome = self._draw_outcome()
        live.traffic.finish(dispatch, outcome, now)
        if outcome is GOOD:
            return
        again = live.traffic.retry(dispatch, outcome, now)
        if isinstance(again, Dispatch):
            self._fleet.further.append(now)
            live.traffic.finish(again, self._draw_outcome(), now)

    def _draw_outcome(self) -> Outcome:
        return REFUSED if self._fleet.random.random() < self._fleet.failing else GOOD


def _make_server(index: int) -> BackendServer:
    return BackendServer(
        ServerId(f"s{index}"),
        SERVICE,
        f"10.0.0.{index}:80",
        FailureDomain(f"d{index % 4}"),
        slots=400,
        connection_limit=4000,
        boot_id=1,
        sequence=1,
        state=ServerState.READY,
    )
