"""The fault matrix of membership and the directory: every message kind under every fault.

Each case runs one story on a virtual fleet of six instances in three failure domains with five
backend servers: an instance restarts, a server drains, stops, and an old announcement of it comes
late, another server is lost. One or two faults strike on the way, each at the first datagram of its
kind, or on all datagrams of its kind. Invariants are checked after every step, and at the end all
must agree. Retentions are scaled down by 2,400, so that a minute stands for hours of isolation.

    python -m persimmonusher_lab.membership_matrix --pairs --seeds 1
    python -m persimmonusher_lab.membership_matrix --case ping/lost+ack/freeze --seed 1
"""

import argparse
import itertools
import sys
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from persimmonusher_agreement import membership_messages as messages
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.server_record import ServerState
from persimmonusher_lab.membership_checks import FleetChecker, Violation
from persimmonusher_lab.virtual_fleet import VirtualFleet, VirtualInstance, VirtualServer
from persimmonusher_lab.virtual_links import Delayed, Duplicated, LinkFault, Lost, Reordered

INSTANCES: Final = 6
SERVERS: Final = 5
ARMED_AT: Final = 6.0
HEALED_AT: Final = 20.0
ISOLATED_SECONDS: Final = 60.0
CRASH_SECONDS: Final = 2.0
SETTLE_SECONDS: Final = 20.0
DRAIN_BOUND: Final = 5.0
"""A few seconds: with two of six entries cut off, the first announcements may go to these."""
LIMITS: Final = MembershipLimits(
    dead_retention_seconds=18.0,
    stopped_retention_seconds=36.0,
    minority_retention_seconds=1e6,
    confirm_seconds=4.0,
    lost_listing_seconds=8.0,
    seed_interval=4.0,
    summary_bytes=96,
)
"""Summaries hold six records, so that exchanges of digests take part as well."""


class Effect(Enum):
    """What a fault does: to all datagrams of a kind, or to the receiver of the first one."""

    LOST = "lost"
    DELAYED = "delayed"
    DUPLICATED = "duplicated"
    REORDERED = "reordered"
    CUT_OUTGOING = "cut-outgoing"
    CUT_INCOMING = "cut-incoming"
    CRASH_BEFORE = "crash-before"
    CRASH_AFTER = "crash-after"
    FREEZE = "freeze"
    ISOLATED = "isolated"


KINDS: Final[dict[str, type[Any]]] = {
    "ping": messages.Ping,
    "ping-request": messages.PingRequest,
    "ack": messages.Ack,
    "join": messages.Join,
    "rumour": messages.Rumour,
    "group-digests": messages.GroupDigests,
    "bucket-digests": messages.BucketDigests,
    "summary": messages.Summary,
    "repair": messages.Repair,
    "heartbeat": messages.Heartbeat,
    "silence-query": messages.SilenceQuery,
    "silence-reply": messages.SilenceReply,
}
LINK_EFFECTS: Final[dict[Effect, type[LinkFault]]] = {
    Effect.LOST: Lost,
    Effect.DELAYED: Delayed,
    Effect.DUPLICATED: Duplicated,
    Effect.REORDERED: Reordered,
}
LINK_PROBABILITY: Final = {"heartbeat/lost": 0.5}
"""All datagrams of the kind are hit but for these: with every heartbeat lost, a server that lives
can't be told from one that doesn't."""


@dataclass(frozen=True)
class MatrixFault:
    """One fault at one kind of message."""

    kind: str
    effect: Effect

    def __str__(self) -> str:
        return f"{self.kind}/{self.effect.value}"


@dataclass(frozen=True)
class CaseResult:
    """How one case ended."""

    name: str
    seed: int
    steps: int
    fired: int
    """Faults that struck; a kind may never have been sent."""
    drain_seconds: float | None
    violations: tuple[Violation, ...]


@dataclass
class MatrixCase:
    """One run of the story under some faults."""

    faults: tuple[MatrixFault, ...]
    seed: int
    trace: bool = False
    struck: dict[MatrixFault, int] = field(default_factory=dict)
    """Each fault that struck, with the instance it struck, -1 for a fault of links."""

    @property
    def name(self) -> str:
        """Return the name that `--case` takes."""
        return "+".join(str(fault) for fault in self.faults)

    def run(self) -> CaseResult:
        """Run the story and check it."""
        self._fleet = VirtualFleet(INSTANCES, self.seed, limits=LIMITS, loss=0.02)
        self._checker = FleetChecker(self._fleet)
        self._servers = [self._fleet.add_server(f"worker-{n}") for n in range(SERVERS)]
        self._fleet.run(ARMED_AT)
        self._arm()
        self._fleet.run(1.0)
        self._fleet.crash(5)
        self._fleet.run(0.5)
        self._fleet.restart(5)
        self._fleet.run(0.5)
        drained = self._drain(self._servers[0])
        self._lose(self._servers[1])
        self._fleet.run(max(0.0, HEALED_AT - self._fleet.now))
        if any(fault.effect is Effect.ISOLATED for fault in self.faults):
            self._fleet.run(ISOLATED_SECONDS)
        self._heal()
        self._fleet.run(SETTLE_SECONDS)
        self._check_end()
        violations = tuple(self._checker.violations)
        steps = self._checker.steps
        return CaseResult(self.name, self.seed, steps, len(self.struck), drained, violations)

    def _drain(self, server: VirtualServer) -> float | None:
        """Let a server drain and stop, with an announcement of before that comes late."""
        fleet = self._fleet
        ready = server.record
        fleet.tell(server, ServerState.DRAINING, entry=1)
        fleet.run(0.3)
        fleet.deliver(ready, 2)
        took = fleet.run_until(lambda: self._all_know_drain(server), DRAIN_BOUND)
        if took is None:
            out = self._list_struck()
            self._checker.check_state(server.record.server_id, ServerState.DRAINING, out)
        fleet.run(max(0.0, 13.5 - fleet.now))
        server.announcing = False
        fleet.tell(server, ServerState.STOPPED, entry=0)
        fleet.tell(server, ServerState.STOPPED, entry=3)
        fleet.run(0.5)
        fleet.deliver(ready, 4)
        return None if took is None else took + 0.3

    def _lose(self, server: VirtualServer) -> None:
        self._fleet.run(0.5)
        server.announcing = False

    def _all_know_drain(self, server: VirtualServer) -> bool:
        left_out = self._list_struck()
        records = [
            one.fleet.directory.find(server.record.server_id)
            for one in self._fleet.list_running()
            if one.number not in left_out
        ]
        return all(record and record.state >= ServerState.DRAINING for record in records)

    def _list_struck(self) -> set[int]:
        """List the instances that a fault struck, and the one that restarted."""
        return {number for number in self.struck.values() if number >= 0} | {5}

    def _check_end(self) -> None:
        self._checker.check_members()
        self._checker.check_agreement()
        for server in self._servers[:2]:
            self._checker.check_gone(server.record.server_id)
        for server in self._servers[2:]:
            self._checker.check_listed(server.record.server_id)

    def _arm(self) -> None:
        fleet = self._fleet
        self._crashed: list[int] = []
        for fault in self.faults:
            link = LINK_EFFECTS.get(fault.effect)
            if link is not None:
                fleet.faults.append(link(KINDS[fault.kind], LINK_PROBABILITY.get(str(fault), 1.0)))
        fleet.on_send = self._note_send
        fleet.before_receive = self._strike_before
        fleet.after_receive = self._strike_after

    def _heal(self) -> None:
        fleet = self._fleet
        fleet.heal()
        fleet.before_receive = fleet.after_receive = lambda instance, envelope: None
        for instance in fleet.instances:
            if instance.frozen:
                fleet.thaw(instance.number)
        for number in self._crashed:
            if not fleet.instances[number].running:
                fleet.restart(number)

    def _note_send(self, instance: VirtualInstance, envelope: messages.Envelope) -> None:
        for fault in self.faults:
            if fault.effect in LINK_EFFECTS and isinstance(envelope.body, KINDS[fault.kind]):
                self.struck.setdefault(fault, -1)
        if self.trace:
            body = f"{type(envelope.body).__name__}{tuple(vars(envelope.body).values())}"
            updates = " ".join(f"{u.key}@{u.version}" for u in envelope.updates)
            print(f"{self._fleet.now:8.3f} {instance.name} {body[:90]} {updates}")

    def _strike_before(self, instance: VirtualInstance, envelope: messages.Envelope) -> None:
        self._strike(instance, envelope, after=False)

    def _strike_after(self, instance: VirtualInstance, envelope: messages.Envelope) -> None:
        self._strike(instance, envelope, after=True)

    def _strike(self, instance: VirtualInstance, envelope: messages.Envelope, after: bool) -> None:
        for fault in self.faults:
            is_after = fault.effect is Effect.CRASH_AFTER
            if fault.effect in LINK_EFFECTS or fault in self.struck or is_after is not after:
                continue
            if isinstance(envelope.body, KINDS[fault.kind]):
                self.struck[fault] = instance.number
                self._hit(instance.number, fault.effect)

    def _hit(self, number: int, effect: Effect) -> None:
        fleet = self._fleet
        if self.trace:
            print(f"{fleet.now:8.3f} entry-{number} struck by {effect.value}")
        others = [other for other in range(INSTANCES) if other != number]
        match effect:
            case Effect.CUT_OUTGOING:
                fleet.cut_one_way([number], others)
            case Effect.CUT_INCOMING:
                fleet.cut_one_way(others, [number])
            case Effect.ISOLATED:
                fleet.cut_both_ways([number], others)
            case Effect.FREEZE:
                fleet.freeze(number)
            case _:
                fleet.crash(number)
                self._crashed.append(number)


def list_faults() -> list[MatrixFault]:
    """List every fault at every kind of message."""
    return [MatrixFault(kind, effect) for kind in KINDS for effect in Effect]


def list_cases(pairs: bool, seeds: Iterable[int], every: int = 1) -> Iterator[MatrixCase]:
    """List the cases of single faults, or of pairs; of pairs, every so many-th only."""
    faults = list_faults()
    chosen: Iterable[tuple[MatrixFault, ...]] = (
        itertools.islice(itertools.combinations(faults, 2), 0, None, every)
        if pairs
        else ((fault,) for fault in faults)
    )
    for combination, seed in itertools.product(chosen, seeds):
        yield MatrixCase(combination, seed)


def parse_case(name: str, seed: int) -> MatrixCase:
    """Return the case of a name, with its trace on."""
    parts = [part.split("/") for part in name.split("+")]
    faults = tuple(MatrixFault(kind, Effect(effect)) for kind, effect in parts)
    return MatrixCase(faults, seed, trace=True)


def run_case(case: MatrixCase) -> CaseResult:
    """Run one case; for worker processes."""
    return case.run()


def report(results: Iterable[CaseResult], expected: int) -> int:
    """Print what ran, how it ended, and how to repeat each failure; return the exit code."""
    listed = list(results)
    failed = [result for result in listed if result.violations]
    drains = sorted(result.drain_seconds for result in listed if result.drain_seconds is not None)
    for result in failed[:20]:
        print(f"FAILED {result.name} seed {result.seed}")
        for violation in result.violations[:3]:
            print(f"  {violation}")
        print(f"  replay: --case {result.name} --seed {result.seed}")
    missed = sum(result.fired < result.name.count("+") + 1 for result in listed)
    print(f"{len(listed)} of {expected} cases, {sum(r.steps for r in listed)} steps checked")
    print(f"{missed} cases in which a fault found no message of its kind")
    print(f"drain reached all in {drains[len(drains) // 2]:.2f} s median, {drains[-1]:.2f} s worst")
    print(f"{len(failed)} cases failed")
    return 1 if failed else 0


def main() -> int:
    """Run the matrix, or replay one case with its trace."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--every", type=int, default=1, help="of the pairs, every so many-th")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--case")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.case:
        return report([parse_case(options.case, options.seed).run()], 1)
    cases = list(list_cases(options.pairs, range(1, options.seeds + 1), options.every))
    with ProcessPoolExecutor(options.processes) as pool:
        return report(pool.map(run_case, cases, chunksize=8), len(cases))


if __name__ == "__main__":
    sys.exit(main())
