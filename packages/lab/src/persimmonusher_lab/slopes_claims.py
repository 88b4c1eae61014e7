"""Slopes of claims: processor time, message sizes and memory at a register and a claimant."""

from persimmonusher_agreement.claims import (
    ClaimRequest,
    ClaimRound,
    RecordState,
    Settlement,
)
from persimmonusher_agreement.register import Register
from persimmonusher_agreement.roster import Member, Roster, choose_registers
from persimmonusher_agreement.roster_document import encode_roster
from persimmonusher_lab.slopes import Slope, measure_bytes, measure_time
from persimmonusher_model.identifiers import FailureDomain, InstanceId
from persimmonusher_node import claims_wire as wire
from persimmonusher_protocol import claims_pb2 as pb

MEMBERS = 2_500
FAILURE_DOMAINS = 8
KEY_WINDOW_SECONDS = 600.0
ANSWER = b"x" * 300
CALLS = 2_000


def measure_claims() -> list[Slope]:
    """Measure all slopes of claims."""
    roster = make_roster(MEMBERS)
    request = make_request(1)
    vote = make_register(roster).claim(request, 0.0)
    settlement = Settlement(request.key, request.token, RecordState.FINISHED, ANSWER)
    register = make_register(roster)
    sizes = {
        "claim message": wire.write_request(request).ByteSize(),
        "vote message": wire.write_vote(vote).ByteSize(),
        "settlement message": wire.write_settlement(settlement).ByteSize(),
        "roster document for each member": len(encode_roster(roster)) / MEMBERS,
    }
    slopes = [
        Slope(name, value, "bytes", "as encoded, answers of 300 bytes")
        for name, value in sizes.items()
    ]
    slopes += [
        Slope(
            "claim at a register",
            measure_time(lambda number: register.claim(make_request(number), 0.0), CALLS),
            "us",
            "state machine only, with making the request",
        ),
        Slope(
            "claim message there and back",
            measure_time(lambda _: _encode_and_decode(request), CALLS),
            "us",
            "encode and decode of one claim",
        ),
        Slope(
            "claim round",
            measure_time(lambda number: _run_round(roster, number), CALLS),
            "us",
            "five registers counted as missing, register sets of a known slot",
        ),
        Slope(
            "register sets of a new slot",
            measure_time(lambda number: choose_registers(roster.members, number), 20),
            "us",
            f"ranking {MEMBERS} members; once for each slot and roster",
        ),
        Slope(
            "record at a register",
            measure_bytes(lambda size: fill_register(roster, size), 2_000, 12_000),
            "bytes",
            "held for one key, answer of 300 bytes",
        ),
    ]
    return slopes


def make_roster(members: int) -> Roster:
    """Make a roster of this many members over `FAILURE_DOMAINS` failure domains."""
    return Roster(
        1,
        tuple(
            Member(
                InstanceId(f"instance-{number:05}"),
                FailureDomain(f"domain-{number % FAILURE_DOMAINS}"),
                1_790_000_000_000 + number,
            )
            for number in range(members)
        ),
    )


def make_register(roster: Roster) -> Register:
    """Make a register for the roster's first member."""
    member = roster.members[0]
    register = Register(member.instance_id, member.boot, KEY_WINDOW_SECONDS, 0.0)
    register.replace_roster(roster)
    return register


def make_request(number: int) -> ClaimRequest:
    """Make a claim on a key that no other number has."""
    key = f"{number:032x}"
    token = f"instance-00001:{number:024x}"
    return ClaimRequest(key, token, f"{number:032x}", 1, KEY_WINDOW_SECONDS, 10.0)


def fill_register(roster: Roster, size: int) -> Register:
    """Make a register that holds `size` finished records."""
    register = make_register(roster)
    for number in range(size):
        request = make_request(number)
        register.claim(request, 0.0)
        answer = bytes(ANSWER[:-8]) + number.to_bytes(8, "big")
        settlement = Settlement(request.key, request.token, RecordState.FINISHED, answer)
        register.settle(settlement, 0.0)
    return register


def _encode_and_decode(request: ClaimRequest) -> None:
    message = wire.write_request(request).SerializeToString()
    wire.read_request(pb.ClaimRequest.FromString(message))


def _run_round(roster: Roster, number: int) -> None:
    request = make_request(number % 64)
    claim_round = ClaimRound(request, roster)
    for register in claim_round.registers:
        claim_round.miss(register)
