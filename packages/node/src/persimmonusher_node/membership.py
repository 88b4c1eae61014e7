"""Membership over UDP: the adapter that carries out the state machine's effects."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import structlog

from persimmonusher_agreement.directory import AnnouncementResult
from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.membership import FleetMembership
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import (
    Effect,
    MembersChanged,
    NewerRevision,
    PathCut,
    PathRestored,
    Send,
    ServersChanged,
)
from persimmonusher_agreement.server_record import ServerRecord
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import FailureDomain, InstanceId, Revision, ServiceName
from persimmonusher_node.component import Component
from persimmonusher_node.loop import run_coroutine
from persimmonusher_node.membership_wire import MAX_DATAGRAM_BYTES, MembershipCodec
from persimmonusher_node.ports import Instance, Membership
from persimmonusher_node.settings import Settings

TICK_SECONDS: Final = 0.1

log = structlog.get_logger()


class UdpMembership(Component, Membership):
    """The live instances, by gossip over UDP on the peer port.

    >>> membership = UdpMembership(
    ...     settings,
    ...     clock,
    ...     Random(),
    ...     read_revision=client.revision,
    ...     hear_revision=client.hear_revision,
    ... )  # doctest: +SKIP
    >>> with membership: ...  # doctest: +SKIP

    `read_revision` returns the configuration revision in force here, and is called at each tick.
    `hear_revision(peer_address, revision)` is called when another instance has a newer one.
    Callbacks added with `on_change` and `on_servers_change` are called where the change is made: on
    the loop, or in the green thread that announces. None of them may block. The constructor opens
    no socket; `start` binds it and needs the loop.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random: Random,
        read_revision: Callable[[], Revision],
        hear_revision: Callable[[str, Revision], None],
        limits: MembershipLimits | None = None,
    ) -> None:
        self._clock = clock
        self._address = settings.listen.peers
        self._codec = MembershipCodec(settings.peer_token)
        self._read_revision = read_revision
        self._hear_revision = hear_revision
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.Handle | None = None
        self._on_change: list[Callable[[], None]] = []
        self._on_servers_change: list[Callable[[ServiceName], None]] = []
        self._live: tuple[int, tuple[Instance, ...]] = (-1, ())
        self.dropped_datagrams = 0
        """Number of datagrams received with a wrong tag or in an unknown version."""
        self.sent_bytes = 0
        chosen = limits or MembershipLimits(
            heartbeat_timeout_seconds=settings.heartbeat_timeout_seconds
        )
        own = make_own_record(settings, clock)
        self.fleet = FleetMembership(own, settings.seeds, random, chosen)

    def list_live(self) -> tuple[Instance, ...]:
        """List the instances believed alive, this one included."""
        members = self.fleet.members
        if self._live[0] != members.changes:
            listed = tuple(_make_instance(record) for record in members.live.values())
            self._live = (members.changes, listed)
        return self._live[1]

    def list_cut_paths(self) -> frozenset[InstanceId]:
        """List the live instances that answer only through others, for operators."""
        return self.fleet.prober.cut_paths

    def has_peer_contact(self) -> bool:
        """Return whether another instance has answered this one lately, or there is none."""
        return self.fleet.has_peer_contact

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back whenever `list_live` changes."""
        self._on_change.append(callback)

    def on_servers_change(self, callback: Callable[[ServiceName], None]) -> None:
        """Call back with the service whose backend servers changed."""
        self._on_servers_change.append(callback)

    def announce(self, record: ServerRecord) -> AnnouncementResult:
        """Record a backend server's announcement and send other instances what they need of it."""
        announced, effects = self.fleet.announce(record, self._clock.monotonic())
        self._carry_out(effects)
        return announced

    def start(self) -> None:
        """Bind the socket and start the periodic ticks; called in a green thread."""
        run_coroutine(self._open())

    def stop(self) -> None:
        """Announce the departure to other instances and close the socket."""
        if self._transport is None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._carry_out(self.fleet.leave(self._clock.monotonic()))
        self._transport.close()
        self._transport = None

    def receive(self, datagram: bytes, source: str) -> None:
        """Handle a datagram from an `ip:port`; a wrong tag or version is counted and dropped."""
        try:
            envelope = self._codec.open(datagram)
        except UsherError as error:
            self.dropped_datagrams += 1
            log.debug("datagram dropped", source=source, code=error.code.value)
            return
        self._carry_out(self.fleet.receive(envelope, source, self._clock.monotonic()))

    async def _open(self) -> None:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=(host, int(port))
        )
        self._transport = transport
        self._timer = loop.call_soon(self._tick, loop)

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._transport is None:
            return
        self._timer = loop.call_later(TICK_SECONDS, self._tick, loop)
        self.fleet.set_revision(self._read_revision())
        self._carry_out(self.fleet.tick(self._clock.monotonic()))

    def _carry_out(self, effects: list[Effect]) -> None:
        services: dict[ServiceName, None] = {}
        members_changed = False
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect)
                case MembersChanged():
                    members_changed = True
                case ServersChanged():
                    services[effect.service] = None
                case _:
                    self._report(effect)
        if members_changed:
            for callback in self._on_change:
                callback()
        for service in services:
            for servers_callback in self._on_servers_change:
                servers_callback(service)

    def _send(self, effect: Send) -> None:
        if self._transport is None:
            return
        datagram = self._codec.seal(effect.envelope)
        if len(datagram) > MAX_DATAGRAM_BYTES:
            log.warning("datagram over the limit", bytes=len(datagram), to=effect.address)
        host, _, port = effect.address.rpartition(":")
        self._transport.sendto(datagram, (host, int(port)))
        self.sent_bytes += len(datagram)

    def _report(self, effect: Effect) -> None:
        match effect:
            case NewerRevision():
                member = self.fleet.members.find(effect.instance)
                if member is not None:
                    self._hear_revision(member.peer_address, effect.revision)
            case PathCut():
                log.warning("instance answers through others only", instance=effect.instance)
            case PathRestored():
                log.info("instance answers directly again", instance=effect.instance)


class _Receiver(asyncio.DatagramProtocol):
    """Passes datagrams to the adapter."""

    def __init__(self, membership: UdpMembership) -> None:
        self._membership = membership

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram."""
        self._membership.receive(data, f"{addr[0]}:{addr[1]}")


def make_own_record(settings: Settings, clock: Clock) -> MemberRecord:
    """Return this instance's record; its incarnation starts from the wall clock in milliseconds.

    After a restart, the new incarnation must supersede the earlier one. If the wall clock went back
    meanwhile, the other instances answer with the earlier record, and this instance refutes it with
    a higher incarnation. The clock thus only saves that round trip; correctness does not depend on
    it.
    """
    return MemberRecord(
        InstanceId(settings.instance_id),
        FailureDomain(settings.failure_domain),
        settings.listen.peers,
        settings.roles,
        int(clock.wall().timestamp() * 1000),
        MemberState.ALIVE,
    )


def _make_instance(record: MemberRecord) -> Instance:
    return Instance(record.instance_id, record.failure_domain, record.peer_address, record.roles)
