"""Instances and backend servers on virtual time, with a network whose faults the test chooses.

A small fake at the interface of `FleetMembership`: no sockets, no threads, one heap of events, all
random numbers from one seed, so that a run can be repeated exactly.
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Final

from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.membership import FleetMembership
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import Effect, Envelope, Send
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_lab.virtual_links import LinkFault
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId, ServiceName

TICK_SECONDS: Final = 0.1
ANNOUNCE_SECONDS: Final = 1.0
ANNOUNCE_TRIES: Final = 3
"""Entries that a server tries for one announcement, while they answer that they are cut off."""
GAP_SECONDS: Final = 2.5
"""A longer gap means that no running entry accepted two announcements in a row."""
MIN_LATENCY: Final = 0.001
MAX_LATENCY: Final = 0.003
SOCKET_DATAGRAMS: Final = 256
"""Datagrams that a stopped process's socket keeps; the kernel drops further ones."""
BOOT_MILLISECONDS: Final = 1_000_000_000
"""The wall clock at the start of virtual time."""


@dataclass
class VirtualInstance:
    """One instance: its state machine and what its process is doing."""

    number: int
    fleet: FleetMembership
    running: bool = True
    frozen: bool = False
    life: int = 0
    """Rises with each crash and restart, so that events of an earlier life are ignored."""
    waiting: list[Callable[[], None]] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    """Effects other than messages, since the list was last cleared."""
    sent_messages: int = 0

    @property
    def name(self) -> InstanceId:
        """Return the instance's id."""
        return self.fleet.members.own.instance_id


Watcher = Callable[[VirtualInstance, Envelope], None]


@dataclass
class VirtualServer:
    """A backend server that announces itself once a second through the balancer."""

    record: ServerRecord
    announcing: bool = True
    heard_last: float = 0.0
    """When an entry last accepted an announcement of it, unless that entry was cut off."""
    heard_since: float = 0.0
    """Since when it has been heard without a gap of more than `GAP_SECONDS`."""

    def note_heard(self, now: float) -> None:
        """Record that an entry accepted an announcement."""
        if now - self.heard_last > GAP_SECONDS:
            self.heard_since = now
        self.heard_last = now


class VirtualFleet:
    """A fleet on virtual time; `seed` alone decides its random choices."""

    def __init__(
        self,
        count: int,
        seed: int,
        domains: int = 3,
        limits: MembershipLimits | None = None,
        loss: float = 0.0,
    ) -> None:
        self.now = 0.0
        self.loss = loss
        self.faults: list[LinkFault] = []
        self.cut: set[tuple[int, int]] = set()
        """Directed pairs of instance numbers between which nothing arrives."""
        self.unreachable: set[int] = set()
        """Instances that the balancer doesn't choose, as it can't reach them."""
        self.on_step: Callable[[VirtualInstance], None] = lambda instance: None
        ignore: Watcher = lambda instance, envelope: None  # noqa: E731
        self.on_send = ignore
        self.before_receive = ignore
        self.after_receive = ignore
        self.random = Random(seed)
        self._limits = limits or MembershipLimits()
        self._domains = domains
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._numbers: dict[str, int] = {}
        self.servers: dict[ServerId, VirtualServer] = {}
        self.instances = [self._create(number) for number in range(count)]
        for instance in self.instances:
            self._start(instance)

    def address(self, number: int) -> str:
        """Return the peer address of an instance."""
        return f"10.0.{number // 250}.{number % 250 + 1}:7000"

    def list_running(self) -> list[VirtualInstance]:
        """List the instances whose process runs and isn't frozen."""
        return [one for one in self.instances if one.running and not one.frozen]

    def introduce_all(self) -> None:
        """Make all instances known to each other at once, as joining does over time."""
        records = [instance.fleet.members.own for instance in self.instances]
        for instance in self.instances:
            for record in records:
                instance.fleet.members.apply(record, 0.0)

    def run(self, seconds: float) -> None:
        """Advance virtual time and run the events that are due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until

    def run_until(self, condition: Callable[[], bool], timeout: float) -> float | None:
        """Run until the condition holds; return the seconds it took, None for a timeout."""
        start = self.now
        while not condition():
            if self.now - start >= timeout:
                return None
            self.run(0.05)
        return self.now - start

    def crash(self, number: int) -> None:
        """End a process at once; what it held in memory is gone."""
        instance = self.instances[number]
        instance.running = False
        instance.life += 1
        instance.waiting.clear()

    def leave(self, number: int) -> None:
        """End a process gracefully."""
        instance = self.instances[number]
        self._carry_out(instance, instance.fleet.leave(self.now))
        self.crash(number)

    def restart(self, number: int, clock_offset: float = 0.0) -> None:
        """Restart a process under its old id, with an empty memory.

        Its wall clock is off by `clock_offset` seconds.
        """
        life = self.instances[number].life + 1
        self.instances[number] = self._create(number, clock_offset)
        self.instances[number].life = life
        self._start(self.instances[number])

    def freeze(self, number: int) -> None:
        """Stop a process as SIGSTOP does: its socket goes on to receive datagrams."""
        self.instances[number].frozen = True

    def thaw(self, number: int) -> None:
        """Resume a stopped process, which then reads what waits in its socket."""
        instance = self.instances[number]
        instance.frozen = False
        waiting, instance.waiting = instance.waiting, []
        for event in waiting:
            event()

    def cut_one_way(self, senders: Iterable[int], receivers: Iterable[int]) -> None:
        """Drop all that the senders send to the receivers."""
        targets = list(receivers)
        self.cut.update((a, b) for a in senders for b in targets if a != b)

    def cut_both_ways(self, group: Iterable[int], others: Iterable[int]) -> None:
        """Cut two groups off from each other."""
        left, right = list(group), list(others)
        self.cut_one_way(left, right)
        self.cut_one_way(right, left)

    def heal(self) -> None:
        """End all cuts and link faults."""
        self.cut.clear()
        self.faults.clear()
        self.unreachable.clear()

    def add_server(self, name: str, service: str = "entries") -> VirtualServer:
        """Start a backend server that announces itself as ready."""
        server_id = ServerId(name)
        record = ServerRecord(
            server_id,
            ServiceName(service),
            "10.1.0.1:9000",
            FailureDomain(f"domain-{len(self.servers) % self._domains}"),
            4,
            400,
            boot_id=1,
            sequence=0,
            state=ServerState.READY,
        )
        server = VirtualServer(record)
        self.servers[server_id] = server
        self._after(
            self.random.uniform(0.0, ANNOUNCE_SECONDS), lambda: self._announce_regularly(server)
        )
        return server

    def tell(self, server: VirtualServer, state: ServerState, entry: int) -> ServerRecord:
        """Announce a state to one chosen entry now, outside the server's regular announcements."""
        sequence = server.record.sequence + 1
        server.record = replace(server.record, state=state, sequence=sequence)
        self.deliver(server.record, entry)
        return server.record

    def deliver(self, record: ServerRecord, entry: int) -> None:
        """Deliver an announcement, which may be an old one, to an entry."""
        instance = self.instances[entry]
        if instance.running:
            self._run_at_instance(instance, lambda: self._announce_at(instance, record))

    def _create(self, number: int, clock_offset: float = 0.0) -> VirtualInstance:
        name = InstanceId(f"entry-{number}")
        self._numbers[self.address(number)] = number
        own = MemberRecord(
            name,
            FailureDomain(f"domain-{number % self._domains}"),
            self.address(number),
            ("entry",),
            int((self.now + clock_offset) * 1000) + BOOT_MILLISECONDS,
            MemberState.ALIVE,
        )
        seeds = [self.address(0), self.address(1), self.address(2)]
        random = Random(self.random.getrandbits(64))
        return VirtualInstance(number, FleetMembership(own, seeds, random, self._limits))

    def _start(self, instance: VirtualInstance) -> None:
        life = instance.life
        first = self.random.uniform(0.0, TICK_SECONDS)
        self._after(first, lambda: self._tick(instance, life))

    def _tick(self, instance: VirtualInstance, life: int) -> None:
        if instance.life != life or not instance.running:
            return
        self._after(TICK_SECONDS, lambda: self._tick(instance, life))
        if not instance.frozen:
            self._carry_out(instance, instance.fleet.tick(self.now))

    def _run_at_instance(self, instance: VirtualInstance, event: Callable[[], None]) -> None:
        """Run an event in an instance's process, at once, or once it resumes if it is stopped."""
        if not instance.frozen:
            event()
        elif len(instance.waiting) < SOCKET_DATAGRAMS:
            instance.waiting.append(event)

    def _carry_out(self, instance: VirtualInstance, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                instance.sent_messages += 1
                self.on_send(instance, effect.envelope)
                self._transmit(instance, effect)
            else:
                instance.effects.append(effect)
        self.on_step(instance)

    def _transmit(self, sender: VirtualInstance, send: Send) -> None:
        target = self._numbers.get(send.address)
        if target is None or (sender.number, target) in self.cut:
            return
        delays = [0.0]
        for fault in self.faults:
            delays = fault.apply(delays, sender.number, target, send.envelope, self.random)
        for delay in delays:
            if self.loss and self.random.random() < self.loss:
                continue
            latency = delay + self.random.uniform(MIN_LATENCY, MAX_LATENCY)
            self._after(latency, self._make_arrival(sender.number, target, send.envelope))

    def _make_arrival(self, sender: int, target: int, envelope: Envelope) -> Callable[[], None]:
        def arrive() -> None:
            instance = self.instances[target]
            if instance.running:
                self.before_receive(instance, envelope)
            if instance.running:
                self._run_at_instance(instance, lambda: self._receive(instance, envelope, sender))

        return arrive

    def _receive(self, instance: VirtualInstance, envelope: Envelope, sender: int) -> None:
        effects = instance.fleet.receive(envelope, self.address(sender), self.now)
        self._carry_out(instance, effects)
        self.after_receive(instance, envelope)

    def _announce_regularly(self, server: VirtualServer) -> None:
        self._after(ANNOUNCE_SECONDS, lambda: self._announce_regularly(server))
        if not server.announcing:
            return
        server.record = replace(server.record, sequence=server.record.sequence + 1)
        chosen = [
            one for one in self.instances if one.running and one.number not in self.unreachable
        ]
        self.random.shuffle(chosen)
        for instance in chosen[:ANNOUNCE_TRIES]:
            if instance.frozen:
                self.deliver(server.record, instance.number)
                return
            if self._handle_announcement(instance, server.record):
                return

    def _announce_at(self, instance: VirtualInstance, record: ServerRecord) -> None:
        self._handle_announcement(instance, record)

    def _handle_announcement(self, instance: VirtualInstance, record: ServerRecord) -> bool:
        """Let an entry handle an announcement; return False if it says that it is cut off."""
        announced, effects = instance.fleet.announce(record, self.now)
        self._carry_out(instance, effects)
        server = self.servers.get(record.server_id)
        if server is not None and announced.relayed:
            server.note_heard(self.now)
        return announced.relayed

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (self.now + seconds, self._order, event))
