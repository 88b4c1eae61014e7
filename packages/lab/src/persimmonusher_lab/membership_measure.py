"""Measure membership on virtual time: bytes, spread, false suspicions, processor time, memory.

    python -m persimmonusher_lab.membership_measure --sizes 48,250,2500 --out membership.json

Sizes in bytes are of sealed datagrams plus 28 for the headers of IP and UDP. Churn is the target's:
15,400 restarts of instances and as many of backend servers a day at 2,500 instances, in proportion
at other sizes; the servers are few, as 110,000 records in each of 2,500 stores fit no machine, so
heartbeats are left out here and counted by `choose_stride`.
"""

import argparse
import json
import sys
import time
import tracemalloc
from collections import Counter
from dataclasses import asdict, dataclass, replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Final

from persimmonusher_agreement.directory import Directory
from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.member_table import MemberTable
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import Envelope, Heartbeat
from persimmonusher_agreement.record_store import RecordStore
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_lab.virtual_fleet import VirtualFleet, VirtualInstance
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId, ServiceName
from persimmonusher_node.membership_wire import MembershipCodec

HEADER_BYTES: Final = 28
TARGET_INSTANCES: Final = 2500
RESTARTS_PER_DAY: Final = 15_400
DAY_SECONDS: Final = 86_400
CHURN_SERVERS: Final = 40
SAMPLE_EVERY: Final = 7
"""One datagram of so many is really sealed and counted for all."""
BENCH_ENVELOPES: Final = 2000
DOMAINS: Final = 8


@dataclass(frozen=True)
class Traffic:
    """What one instance sends on average, in bytes and datagrams a second."""

    bytes_per_second: float
    datagrams_per_second: float


@dataclass(frozen=True)
class Spread:
    """Seconds until a change is known to all, over several changes, at one rate of loss."""

    loss: float
    median: float
    worst: float
    missed: int
    """Changes that did not reach all within the limit."""


@dataclass(frozen=True)
class Suspicions:
    """What loss makes instances believe of healthy ones."""

    loss: float
    suspected_per_instance_hour: float
    declared_dead: int


@dataclass(frozen=True)
class SizeReport:
    """All measures at one size of the fleet."""

    instances: int
    at_rest: Traffic
    under_churn: Traffic
    spread: list[Spread]
    suspicions: list[Suspicions]
    seal_microseconds: float
    open_microseconds: float
    receive_microseconds: float
    tick_microseconds: float
    core_share_under_churn: float


class TrafficMeter:
    """Counts datagrams and the bytes of a sample of them."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self._fleet = fleet
        self._codec = MembershipCodec("token")
        self.reset()
        self.envelopes: list[Envelope] = []
        fleet.on_send = self.note

    def reset(self) -> None:
        """Start to count anew."""
        self._since = self._fleet.now
        self._count = 0
        self._sampled = 0
        self._bytes = 0
        self.kinds: Counter[str] = Counter()

    def note(self, instance: VirtualInstance, envelope: Envelope) -> None:
        """Count a datagram."""
        self._count += 1
        self.kinds[type(envelope.body).__name__] += 1
        if self._count % SAMPLE_EVERY == 0:
            self._sampled += 1
            self._bytes += len(self._codec.seal(envelope)) + HEADER_BYTES
            if len(self.envelopes) < BENCH_ENVELOPES:
                self.envelopes.append(envelope)

    def read(self) -> Traffic:
        """Return the averages for one instance since the last reset."""
        seconds = (self._fleet.now - self._since) * len(self._fleet.instances)
        per_datagram = self._bytes / max(1, self._sampled)
        return Traffic(self._count * per_datagram / seconds, self._count / seconds)


def start_fleet(size: int, seed: int, loss: float = 0.0) -> VirtualFleet:
    """Return a settled fleet without the watch for silent servers."""
    limits = MembershipLimits(silence_check_seconds=1e9)
    fleet = VirtualFleet(size, seed, domains=DOMAINS, limits=limits, loss=loss)
    fleet.introduce_all()
    fleet.run(3.0)
    return fleet


def churn(fleet: VirtualFleet, seconds: float) -> None:
    """Restart instances and change servers at the target's rate, in proportion to the size."""
    size = len(fleet.instances)
    rate = RESTARTS_PER_DAY / DAY_SECONDS * size / TARGET_INSTANCES
    servers = [fleet.add_server(f"worker-{n}") for n in range(CHURN_SERVERS)]
    for server in servers:
        server.announcing = False
    until = fleet.now + seconds
    next_restart = fleet.now + fleet.random.expovariate(rate)
    next_change = fleet.now + fleet.random.expovariate(4 * rate)
    while fleet.now < until:
        if fleet.now >= next_restart:
            number = fleet.random.randrange(3, size)
            fleet.leave(number)
            fleet.restart(number)
            next_restart += fleet.random.expovariate(rate)
        if fleet.now >= next_change:
            server = fleet.random.choice(servers)
            states = [ServerState.READY, ServerState.DRAINING]
            state = states[server.record.state is ServerState.READY]
            fleet.tell(server, state, fleet.random.randrange(size))
            next_change += fleet.random.expovariate(4 * rate)
        fleet.run(0.1)


def measure_spread(size: int, loss: float, changes: int) -> Spread:
    """Tell one entry of a drain, several times, and wait until all know it."""
    fleet = start_fleet(size, seed=11, loss=loss)
    servers = [fleet.add_server(f"worker-{n}") for n in range(changes)]
    fleet.run(5.0)
    took: list[float] = []
    missed = 0
    for server in servers:
        fleet.tell(server, ServerState.DRAINING, fleet.random.randrange(size))
        all_drain = partial(_all_drain, fleet, server.record.server_id)
        seconds = fleet.run_until(all_drain, 20.0)
        missed += seconds is None
        took.append(20.0 if seconds is None else seconds)
    took.sort()
    return Spread(loss, took[len(took) // 2], took[-1], missed)


def _all_drain(fleet: VirtualFleet, server_id: ServerId) -> bool:
    for instance in fleet.instances:
        record = instance.fleet.directory.find(server_id)
        if record is None or record.state is not ServerState.DRAINING:
            return False
    return True


def measure_suspicions(size: int, loss: float, seconds: float) -> Suspicions:
    """Let a healthy fleet run under loss and count what it believes of its instances."""
    fleet = start_fleet(size, seed=12, loss=loss)
    fleet.run(seconds)
    suspected = sum(one.fleet.members.suspected_count for one in fleet.instances)
    declared = sum(one.fleet.members.declared_count for one in fleet.instances)
    hours = size * (seconds + 3.0) / 3600
    return Suspicions(loss, suspected / hours, declared)


def measure_size(size: int, seconds: float) -> SizeReport:
    """Take all measures at one size."""
    fleet = start_fleet(size, seed=10)
    meter = TrafficMeter(fleet)
    fleet.run(seconds)
    at_rest = meter.read()
    print(f"  at rest {at_rest} {dict(meter.kinds)}", flush=True)
    meter.reset()
    meter.envelopes.clear()
    churn(fleet, seconds)
    busy = meter.read()
    print(f"  churn {busy} {dict(meter.kinds)}", flush=True)
    changes = 5 if size > 1000 else 100
    spread = [measure_spread(size, loss, changes) for loss in (0.0, 0.01, 0.05, 0.2)]
    suspicions = [measure_suspicions(size, loss, seconds * 2) for loss in (0.01, 0.05)]
    costs = measure_costs(fleet, meter.envelopes)
    share = (busy.datagrams_per_second * sum(costs[:3]) + 10 * costs[3]) / 1e6
    return SizeReport(size, at_rest, busy, spread, suspicions, *costs, share)


def measure_costs(
    fleet: VirtualFleet, envelopes: list[Envelope]
) -> tuple[float, float, float, float]:
    """Return the microseconds to seal, to open and to take a datagram, and of one tick."""
    codec = MembershipCodec("token")
    started = time.process_time()
    datagrams = [codec.seal(envelope) for envelope in envelopes]
    sealed = time.process_time()
    opened = [codec.open(datagram) for datagram in datagrams]
    parsed = time.process_time()
    instance = fleet.instances[0]
    for envelope in opened:
        instance.fleet.receive(envelope, fleet.address(1), fleet.now)
    taken = time.process_time()
    for step in range(1000):
        instance.fleet.tick(fleet.now + step / 10)
    ticked = time.process_time()
    count = len(envelopes) / 1e6
    return (
        (sealed - started) / count,
        (parsed - sealed) / count,
        (taken - parsed) / count,
        (ticked - taken) / 1000 * 1e6,
    )


def measure_memory(instances: int, servers: int) -> dict[str, float]:
    """Return the bytes that each instance's and each server's record takes in one process."""
    limits = MembershipLimits()
    store = RecordStore()
    own = MemberRecord(
        InstanceId("own"), FailureDomain("d"), "10.0.0.1:1", ("entry",), 1, MemberState.ALIVE
    )
    table = MemberTable(own, store, limits)
    directory = Directory(store, limits)
    tracemalloc.start()
    for number in range(instances):
        name = InstanceId(f"entry-{number:05d}")
        table.apply(replace(own, instance_id=name, peer_address=f"10.0.0.{number}:1"), 0.0)
    after_members = tracemalloc.get_traced_memory()[0]
    for number in range(servers):
        record = ServerRecord(
            ServerId(f"worker-{number:06d}"),
            ServiceName(f"service-{number // 50}"),
            f"10.0.{number // 250}.{number % 250}:8080",
            FailureDomain(f"domain-{number % 8}"),
            4,
            400,
            1_790_000_000_000 + number,
            1,
            ServerState.READY,
        )
        directory.apply(record, 0.0)
    after_servers = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "bytes_per_instance": after_members / instances,
        "bytes_per_server": (after_servers - after_members) / servers,
        "total_megabytes": after_servers / 1e6,
    }


def measure_heartbeat() -> int:
    """Return the bytes of one heartbeat as sent."""
    codec = MembershipCodec("token")
    heartbeat = Heartbeat(ServerId("worker-000001"), 1_790_000_000_000, 86_400, ServerState.READY)
    envelope = Envelope(InstanceId("entry-00001"), Random(1).getrandbits(16), 2**63, heartbeat)  # type: ignore[arg-type]
    return len(codec.seal(envelope)) + HEADER_BYTES


def main() -> int:
    """Measure the sizes asked for and write the report."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="48,250")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    report: dict[str, object] = {
        "memory_at_target": measure_memory(2500, 110_000),
        "heartbeat_bytes": measure_heartbeat(),
    }
    for size in (int(text) for text in options.sizes.split(",")):
        print(f"{size} instances", flush=True)
        started = time.monotonic()
        report[str(size)] = asdict(measure_size(size, options.seconds))
        print(f"  took {time.monotonic() - started:.0f} s", flush=True)
        print(json.dumps(report[str(size)]), flush=True)
    text = json.dumps(report, indent=2)
    print(text)
    if options.out is not None:
        options.out.write_text(text + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
