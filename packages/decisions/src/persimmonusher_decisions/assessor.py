"""A service's assessor: combines the evidence of all entry instances and ejects servers."""

from collections.abc import Iterable
from typing import Final, TypeAlias

from persimmonusher_decisions.detection import SLICE_SECONDS, Sensitivity
from persimmonusher_decisions.evidence_messages import (
    Ejection,
    EjectionSet,
    EjectionState,
    EvidenceDigest,
)
from persimmonusher_decisions.floor import Candidate, apply_floor
from persimmonusher_decisions.peers import COMMON_CAUSE_SHARE, ServerView, View
from persimmonusher_decisions.readmission import EjectionBackoff, EjectionRecord
from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_decisions.strikes import StrikeCounter
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId, ServiceName
from persimmonusher_model.profile import Profile

LEASE_SECONDS: Final = 3.0
"""Long enough that several renewals may be lost, short enough that the verdict of an isolated
assessor lapses soon."""
AGREEMENT_SCORE: Final = 0.1
"""Score from which a failure domain's own evidence agrees with that of all domains together."""
AGREEING_DOMAINS_SHARE: Final = 0.6
"""Part of the domains with work on a server that must agree before it is ejected for all domains. A
one-way network cut from one domain of three or four affects that domain only."""
DOMAIN_THRESHOLD: Final = 1.4
"""Score needed to eject a server for one domain alone. A domain sees about a quarter of the
answers, so a blip is a larger share of them, while a real one-way cut lasts."""
EVERYWHERE: Final = FailureDomain("")
Place: TypeAlias = tuple[FailureDomain, ServerId]


class Assessor:
    """Decides on the ejections in one service.

    Any instance can hold an assessor; the first one in rendezvous order acts. With 36 to 48 entry
    instances, each sees two answers of one server per second, or fewer. A single instance would
    need seconds of failures for a verdict that all together can reach in a fraction of a second.
    Evidence is kept for each observing failure domain and for all domains together; an ejection
    applies to the domains that see its cause. `assess` is called about every 0.1 s.
    """

    def __init__(
        self, service: ServiceName, profile: Profile, instance_id: InstanceId, epoch: int
    ) -> None:
        self._service = service
        self._instance_id = instance_id
        self._epoch = epoch
        self._sequence = 0
        self._slots: dict[ServerId, int] = {}
        self._boots: dict[ServerId, int] = {}
        self._views: dict[FailureDomain, View] = {EVERYWHERE: View()}
        self._records: dict[Place, EjectionRecord] = {}
        self._backoffs: dict[Place, EjectionBackoff] = {}
        self._digests: dict[InstanceId, tuple[int, int]] = {}
        self._slice_from: float | None = None
        self._held_back = 0
        self._strikes = StrikeCounter(profile.crash_strikes, profile.quarantine_ms / 1000.0)
        self.replace_profile(profile)

    def replace_profile(self, profile: Profile) -> None:
        """Apply a new profile; evidence is kept."""
        self._floor_percent = profile.health_floor_percent
        self._sensitivity = Sensitivity.derive(profile.detection_sensitivity)
        self._strikes.replace_limits(profile.crash_strikes, profile.quarantine_ms / 1000.0)

    def replace_servers(self, servers: Iterable[BackendServer], now: float) -> None:
        """Replace the announced servers; the floor counts the ready ones.

        State of servers that are gone is dropped. An ejected server that was restarted goes on
        probation at once: the fault may be gone, and if a request had crashed the server, it wasn't
        the server's fault.
        """
        known = list(servers)
        ready = [server for server in known if server.state is ServerState.READY]
        self._slots = {server.server_id: max(1, server.slots) for server in ready}
        for server in known:
            before = self._boots.get(server.server_id)
            if before is not None and before != server.boot_id:
                self._reset_restarted(server.server_id, now)
        self._boots = {server.server_id: server.boot_id for server in known}
        for view in self._views.values():
            view.keep_servers(self._slots)
        for place in [place for place in self._records if place[1] not in self._boots]:
            del self._records[place]
        for place in [place for place in self._backoffs if place[1] not in self._boots]:
            del self._backoffs[place]

    def add_domain(self, domain: FailureDomain) -> bool:
        """Add a failure domain whose instances ask for verdicts; False if it is already known.

        Otherwise an instance whose whole domain has had no work for the service yet would get no
        ejections, and its first requests would go to servers that all others avoid.
        """
        if domain in self._views:
            return False
        self._views[domain] = View()
        return True

    def receive(self, digest: EvidenceDigest, now: float) -> None:
        """Add one instance's evidence; a digest that was seen before, or is older, is ignored."""
        freshness = (digest.incarnation, digest.sequence)
        if freshness <= self._digests.get(digest.instance_id, (-1, -1)):
            return
        self._digests[digest.instance_id] = freshness
        domain = digest.failure_domain
        self.add_domain(domain)
        view = self._views[domain]
        everywhere = self._views[EVERYWHERE]
        for line in digest.servers:
            if line.server_id not in self._slots:
                continue
            record = self._find_record(domain, line.server_id)
            if record is not None:
                record.count_probes(line)
                continue
            view.add(line)
            everywhere.add(line)
        self._strikes.receive(digest.strikes, now)

    def assess(self, now: float) -> EjectionSet:
        """Return the complete verdict as of now, as a lease."""
        if self._slice_from is None:
            self._slice_from = now
        if now - self._slice_from >= SLICE_SECONDS - 1e-9:
            self._slice_from = now
            for view in self._views.values():
                view.close_slice(self._sensitivity)
            self._review_records(now)
            self._eject_faulty(now)
        self._sequence += 1
        ejections = self._list_ejections()
        return EjectionSet(
            service=self._service,
            assessor_id=self._instance_id,
            epoch=self._epoch,
            sequence=self._sequence,
            lease_seconds=LEASE_SECONDS,
            ejections=ejections,
            quarantines=self._strikes.list_quarantines(now),
            watched=self._strikes.list_watched(),
            note=self._explain_restraint(),
        )

    def _find_record(self, domain: FailureDomain, server_id: ServerId) -> EjectionRecord | None:
        record = self._records.get((EVERYWHERE, server_id))
        return record or self._records.get((domain, server_id))

    def _reset_restarted(self, server_id: ServerId, now: float) -> None:
        for view in self._views.values():
            if server_id in view.servers:
                view.servers[server_id].reset()
        for place, record in self._records.items():
            if place[1] == server_id:
                record.begin_probation(now)
                record.reason = f"started again; was out as {record.reason}"

    def _review_records(self, now: float) -> None:
        for place, record in list(self._records.items()):
            view = self._views[place[0]]
            usual = (view.usual_failing, view.usual_slow)
            if record.state is EjectionState.EJECTED:
                if now >= record.until:
                    record.begin_probation(now)
            elif record.has_failed(*usual):
                self._eject(place, record.strength, _describe_probes(record), now)
            elif record.has_passed(*usual):
                del self._records[place]
                self._reset(place)

    def _eject_faulty(self, now: float) -> None:
        for domain, view in self._views.items():
            for server_id, server in view.servers.items():
                threshold = 1.0 if domain == EVERYWHERE else DOMAIN_THRESHOLD
                if server.score < threshold or self._find_record(domain, server_id):
                    continue
                if domain != EVERYWHERE or self._do_domains_agree(server_id):
                    reason = describe_evidence(server, view, domain)
                    self._eject((domain, server_id), server.score, reason, now)

    def _do_domains_agree(self, server_id: ServerId) -> bool:
        views = [view for domain, view in self._views.items() if domain != EVERYWHERE]
        scores = [view.servers[server_id].score for view in views if server_id in view.servers]
        agreeing = sum(score >= AGREEMENT_SCORE for score in scores)
        return agreeing >= AGREEING_DOMAINS_SHARE * len(scores)

    def _eject(self, place: Place, strength: float, reason: str, now: float) -> None:
        wait = self._backoffs.setdefault(place, EjectionBackoff()).begin(now)
        self._records[place] = EjectionRecord(
            EjectionState.EJECTED, now, now + wait, reason, strength
        )

    def _reset(self, place: Place) -> None:
        domain, server_id = place
        for name, view in self._views.items():
            if domain in (EVERYWHERE, name) and server_id in view.servers:
                view.servers[server_id].reset()

    def _list_ejections(self) -> tuple[Ejection, ...]:
        """Apply the floor for each failure domain; ejections for all domains count in each."""
        ejections: list[Ejection] = []
        held_back: set[ServerId] = set()
        for domain in self._views:
            if domain == EVERYWHERE:
                continue
            seen = self._list_records(domain)
            candidates = [Candidate(name, record.strength) for name, record in seen.items()]
            verdict = apply_floor(candidates, self._slots, self._floor_percent)
            held_back.update(verdict.held_back)
            ejections.extend(
                Ejection(name, domain, seen[name].state, seen[name].reason, seen[name].strength)
                for name in verdict.ejected
            )
        self._held_back = len(held_back)
        return tuple(ejections)

    def _list_records(self, domain: FailureDomain) -> dict[ServerId, EjectionRecord]:
        return {
            server_id: record
            for (place, server_id), record in self._records.items()
            if place in (EVERYWHERE, domain)
        }

    def _explain_restraint(self) -> str:
        """Explain why fewer servers are ejected than look faulty; empty if that isn't so."""
        notes: list[str] = []
        if self._held_back:
            notes.append(
                f"{self._held_back} more of {len(self._slots)} servers look ill and stay in place "
                f"for the floor of {self._floor_percent}%: so many at once point to a common cause"
            )
        middle = self._views[EVERYWHERE].median_failing
        if middle >= COMMON_CAUSE_SHARE:
            notes.append(
                f"the middle server fails {middle:.0%} of its work, a common cause such as a "
                "deployment or a shared dependency: nobody is ejected for failing as often"
            )
        return "; ".join(notes)


def describe_evidence(server: ServerView, view: View, domain: FailureDomain) -> str:
    """Return the reason for an ejection, with its figures."""
    seen_from = f"from {domain}" if domain else "from all failure domains"
    failing, slow = server.failing, server.slow
    if failing.test.score >= slow.test.score:
        return (
            f"fails {failing.recent.value:.0%} of its latest answers seen "
            f"{seen_from}, where up to {view.usual_failing:.1%} is usual"
        )
    return (
        f"{slow.recent.value:.0%} of its latest answers seen {seen_from} are "
        f"slow, where up to {view.usual_slow:.0%} is usual"
    )


def _describe_probes(record: EjectionRecord) -> str:
    return (
        f"still ill on probation: of {record.good + record.bad} probes {record.bad} failed, "
        f"{record.slow} were slow"
    )
