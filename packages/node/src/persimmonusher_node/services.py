"""The services that this instance has traffic for, kept up to date with the ports."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Final

from eventlet.event import Event

from persimmonusher_decisions.splitting import WeightedChooser
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Decision
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import FailureDomain, InstanceId, Revision, ServiceName
from persimmonusher_model.organisations import OrganisationBook
from persimmonusher_model.profile import Profile
from persimmonusher_model.routing import RouteRule
from persimmonusher_node.ports import ConfigurationView, Freshness, Membership, ServerDirectory

SERVICE_RETENTION_SECONDS: Final = 600.0
"""A service without requests for this long is dropped to save ticks; its evidence is stale then."""


MAX_CHOOSERS: Final = 10_000
"""Most routes whose weighted choosers are kept; beyond it all start anew, which is harmless."""


class LiveService:
    """One service's traffic decisions, with the profile and servers that they were last given."""

    def __init__(
        self, name: ServiceName, traffic: ServiceTraffic, profile: Profile, now: float
    ) -> None:
        self.name = name
        self.traffic = traffic
        self.profile = profile
        self.servers_version = -1
        self.opened: Event | None = None
        """Sent once the assessor's first verdict is in force, or could not be had."""
        self.last_used = now
        self.in_flight = 0


@dataclass(frozen=True)
class RoutedService:
    """The service of a request, and its route's rule if the routing document has the route."""

    live: LiveService
    rule: RouteRule | None = None


def _open_immediately(live: LiveService) -> None:
    """Open without waiting; for an instance that runs alone."""


class ServiceBook:
    """Creates each `LiveService` and refreshes it from the configuration and the directory."""

    def __init__(
        self,
        view: ConfigurationView,
        directory: ServerDirectory,
        membership: Membership,
        instance_id: InstanceId,
        domain: FailureDomain,
        clock: Clock,
        random: Random,
    ) -> None:
        self._view = view
        self._directory = directory
        self._membership = membership
        self._instance_id = instance_id
        self._incarnation = int(clock.wall().timestamp() * 1000)
        self._started = clock.monotonic()
        self._domain = domain
        self._clock = clock
        self._random = random
        self._services: dict[ServiceName, LiveService] = {}
        self._choosers: dict[RouteRule, WeightedChooser] = {}
        self._open_service: Callable[[LiveService], None] = _open_immediately

    def revision(self) -> Revision:
        """Return the configuration revision in force here."""
        return self._view.revision()

    def is_configured(self) -> bool:
        """Return whether there is a configuration to answer callers by."""
        return self._view.is_configured()

    def is_current(self) -> bool:
        """Return whether no later revision can have been in force for long."""
        return self._view.is_current()

    def find_freshness(self) -> Freshness | None:
        """Return how stale the configuration may be; None if unknown."""
        return self._view.find_freshness()

    @property
    def organisations(self) -> OrganisationBook | None:
        """Return the organisations in force; None where requests carry no API keys."""
        return self._view.organisations

    def set_opener(self, open_service: Callable[[LiveService], None]) -> None:
        """Set a function, which may block, that is called before a service's first request."""
        self._open_service = open_service

    def find(self, host: str, path: str) -> LiveService | None:
        """Return the service that a request is for, with its current profile and servers.

        The first requests of a service at this instance wait until it is opened.
        """
        name = self._view.find_service(host, path)
        live = None if name is None else self.get(name)
        if live is not None:
            self._open(live)
        return live

    def match(self, host: str, path: str) -> RoutedService | None:
        """Return the service and rule of a request.

        The routing document is looked up first, then the routes of the configuration.
        """
        rule = self._view.find_rule(host, path)
        if rule is None:
            live = self.find(host, path)
            return None if live is None else RoutedService(live)
        live = self.get(self._choose_service(rule))
        if live is None:
            return None
        self._open(live)
        return RoutedService(live, rule)

    def _choose_service(self, rule: RouteRule) -> ServiceName:
        chooser = self._choosers.get(rule)
        if chooser is None:
            if len(self._choosers) >= MAX_CHOOSERS:
                self._choosers.clear()
            chooser = self._choosers[rule] = WeightedChooser(rule.services, self._random)
        return chooser.choose()

    def get(self, name: ServiceName) -> LiveService | None:
        """Return a service with its current profile and servers; None if it has no profile."""
        profile = self._view.find_profile(name)
        if profile is None:
            return None
        now = self._clock.monotonic()
        live = self._services.get(name)
        if live is None:
            live = self._make(name, profile, now)
        live.last_used = now
        self._refresh(live, profile, now)
        return live

    def __iter__(self) -> Iterator[LiveService]:
        return iter(list(self._services.values()))

    def advance(self, deliver: Callable[[LiveService, Decision], None], everything: bool) -> None:
        """Advance the traffic of the services and deliver the decisions that this releases.

        Unless `everything` is set, services without a request in flight are skipped: they have
        nothing to release, and there may be thousands of them.
        """
        for live in list(self._services.values()):
            if live.in_flight or everything:
                self._advance_one(live, deliver)

    def _advance_one(
        self, live: LiveService, deliver: Callable[[LiveService, Decision], None]
    ) -> None:
        now = self._clock.monotonic()
        if not live.in_flight and now - live.last_used > SERVICE_RETENTION_SECONDS:
            del self._services[live.name]
            return
        profile = self._view.find_profile(live.name)
        if profile is not None:
            self._refresh(live, profile, now)
        for decision in live.traffic.advance(now):
            deliver(live, decision)

    def refresh_entry_count(self) -> None:
        """Update the number of live entries, which share what the fleet is allowed."""
        for live in self._services.values():
            self._count_entries(live.traffic)

    def _count_entries(self, traffic: ServiceTraffic) -> None:
        is_reliable = self._membership.is_entry_count_reliable()
        traffic.replace_entry_count(self._membership.count_entries(), is_reliable)

    def _open(self, live: LiveService) -> None:
        if live.opened is None:
            live.opened = Event()
            try:
                self._open_service(live)
            finally:
                live.opened.send()
        elif not live.opened.ready():
            live.opened.wait()

    def _make(self, name: ServiceName, profile: Profile, now: float) -> LiveService:
        traffic = ServiceTraffic(
            profile,
            self._domain,
            self._random,
            name,
            self._instance_id,
            self._incarnation,
            self._started,
        )
        self._count_entries(traffic)
        live = LiveService(name, traffic, profile, now)
        self._services[name] = live
        return live

    def _refresh(self, live: LiveService, profile: Profile, now: float) -> None:
        if profile is not live.profile:
            live.profile = profile
            live.traffic.replace_profile(profile)
        version = self._directory.version(live.name)
        if version != live.servers_version:
            live.servers_version = version
            live.traffic.replace_servers(self._directory.list_servers(live.name), now)
