"""Registrations of backend servers as objects of the log.

Only changes of a server are appended: its start, its state, its address, its stop. The heartbeats
in between stay with the keeper that receives them. So an acknowledged stop is held by a majority,
as every acknowledged change is, and the directory survives the loss of all keepers' processes.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from persimmonusher_agreement.configuration_objects import ObjectKey, ObjectKind
from persimmonusher_model.errors import ErrorCode, Finding


class RegisteredState(Enum):
    """The state that a server last reported, as far as known."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Registration:
    """The registration of one server. Its freshness is the pair (boot, sequence)."""

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    boot: int
    """Rises with each start of the server; its start in Unix milliseconds."""
    sequence: int
    state: RegisteredState
    cold_seconds: float = 0.0
    """How much longer the server will be slow after its start, as it reported at registration."""

    @property
    def key(self) -> ObjectKey:
        """Return the key of the server's object in the log."""
        return ObjectKey(ObjectKind.SERVER, self.server_id)

    @property
    def freshness(self) -> tuple[int, int]:
        """Return the pair that orders two registrations of the same server."""
        return (self.boot, self.sequence)

    def describes_same(self, other: "Registration") -> bool:
        """Return whether another registration differs at most in sequence and `cold_seconds`."""
        return replace(other, sequence=self.sequence, cold_seconds=self.cold_seconds) == self


def encode_registration(server: Registration) -> str:
    """Return a registration as the body of its object."""
    return json.dumps(
        {
            "service": server.service,
            "address": server.address,
            "domain": server.failure_domain,
            "slots": server.slots,
            "boot": server.boot,
            "sequence": server.sequence,
            "state": server.state.value,
            "cold_seconds": server.cold_seconds,
        }
    )


def decode_registration(server_id: str, body: str) -> Registration:
    """Return the registration in the body of a server's object."""
    document = json.loads(body)
    return Registration(
        server_id,
        document["service"],
        document["address"],
        document["domain"],
        document["slots"],
        document["boot"],
        document["sequence"],
        RegisteredState(document["state"]),
        document["cold_seconds"],
    )


def check_registration(server_id: str, document: dict[str, object]) -> list[Finding]:
    """Check a body before it is appended, and return the findings."""
    try:
        decode_registration(server_id, json.dumps(document))
    except (KeyError, ValueError, TypeError) as error:
        return [Finding(ErrorCode.BAD_VALUE, "body", f"is no registration: {error!r}")]
    return []


def supersedes(new: Registration, known: Registration | None) -> bool:
    """Return whether a registration replaces the known one of the server.

    Guards against a heartbeat that was delayed by a cut and arrives after its server has stopped:
    within one boot STOPPED is final, and an older boot or sequence has no effect.
    """
    if known is None:
        return True
    if new.boot == known.boot and known.state is RegisteredState.STOPPED:
        return False
    return new.freshness > known.freshness


def apply_registration(new: Registration, rivals: Iterable[Registration]) -> list[Registration]:
    """Return the registrations to store for a new one, given the others at its address.

    Guards against an address that was reassigned to another server: of two servers at one address
    the one with the later boot has it, and the other has stopped, whether or not it reported so. A
    late heartbeat of the stopped server is stored as stopped, so that further ones have no effect.
    """
    if new.state is RegisteredState.STOPPED:
        return [new]
    others = list(rivals)
    if any(rival.boot > new.boot for rival in others):
        return [replace(new, state=RegisteredState.STOPPED)]
    return [new, *(replace(rival, state=RegisteredState.STOPPED) for rival in others)]
