"""Slopes of membership and the directory: memory, and the cost of a datagram."""

from random import Random

from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.membership import FleetMembership
from persimmonusher_agreement.membership_messages import Envelope
from persimmonusher_lab.membership_measure import HEADER_BYTES, measure_memory
from persimmonusher_lab.slopes import Slope, measure_time
from persimmonusher_lab.virtual_fleet import VirtualFleet, VirtualInstance
from persimmonusher_model.identifiers import FailureDomain, InstanceId
from persimmonusher_node.membership_wire import MembershipCodec

SERVERS = 20_000
INSTANCES = 2_500
SAMPLE_INSTANCES = 48
SAMPLE_SECONDS = 30.0


def measure_membership() -> list[Slope]:
    """Measure all slopes of membership."""
    memory = measure_memory(INSTANCES, SERVERS)
    codec = MembershipCodec("token")
    fleet = VirtualFleet(SAMPLE_INSTANCES, 1)
    fleet.introduce_all()
    fleet.run(5.0)
    sent: list[int] = []
    envelopes: list[Envelope] = []

    def record(_: VirtualInstance, envelope: Envelope) -> None:
        sent.append(1)
        envelopes.append(envelope)

    fleet.on_send = record
    fleet.run(SAMPLE_SECONDS)
    datagrams = [codec.seal(envelope) for envelope in envelopes]
    each = sum(len(datagram) + HEADER_BYTES for datagram in datagrams) / len(datagrams)
    rate = len(sent) / SAMPLE_SECONDS / SAMPLE_INSTANCES
    receiver = fleet.instances[0].fleet
    alone = _make_lone_membership()
    return [
        Slope("instance in membership", memory["bytes_per_instance"], "bytes", "held"),
        Slope("server in the directory", memory["bytes_per_server"], "bytes", "held"),
        Slope("datagram", each, "bytes", "probe or answer at rest, with IP and UDP headers"),
        Slope("datagrams at rest", rate, "1/s", f"sent by an instance, {SAMPLE_INSTANCES} in all"),
        Slope(
            "datagram sealed",
            measure_time(lambda n: codec.seal(envelopes[n % len(envelopes)]), 500),
            "us",
            "encoded and tagged",
        ),
        Slope(
            "datagram taken",
            measure_time(
                lambda n: receiver.receive(
                    codec.open(datagrams[n % len(datagrams)]), fleet.address(1), fleet.now
                ),
                500,
            ),
            "us",
            "checked, decoded and handled",
        ),
        Slope(
            "tick",
            measure_time(lambda n: alone.tick(n * 0.1), 500),
            "us",
            "ten a second",
        ),
    ]


def _make_lone_membership() -> FleetMembership:
    own = MemberRecord(
        InstanceId("own"), FailureDomain("d"), "10.0.0.1:1", ("entry",), 1, MemberState.ALIVE
    )
    return FleetMembership(own, (), Random(1))
