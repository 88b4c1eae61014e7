"""Messages between instances about membership and the directory, and the resulting effects."""

from dataclasses import dataclass
from typing import TypeAlias

from persimmonusher_agreement.record import Record
from persimmonusher_agreement.server_record import ServerState
from persimmonusher_model.identifiers import InstanceId, Revision, ServerId, ServiceName


@dataclass(frozen=True)
class Ping:
    """Ask the receiver for an `Ack` with the same sequence."""

    sequence: int


@dataclass(frozen=True)
class PingRequest:
    """Ask the receiver to probe the target on the sender's behalf and to relay its answer."""

    sequence: int
    target: InstanceId
    target_address: str


@dataclass(frozen=True)
class Ack:
    """Answer a probe; `subject` is the instance that is alive, which may not be the sender."""

    sequence: int
    subject: InstanceId


@dataclass(frozen=True)
class Join:
    """Introduce the sender, whose record is among the updates, to a seed."""

    sequence: int


@dataclass(frozen=True)
class Rumour:
    """Carry updates only."""


@dataclass(frozen=True)
class GroupDigests:
    """Start an exchange over a large store: one digest for each group of buckets."""

    digests: tuple[int, ...]


@dataclass(frozen=True)
class BucketDigests:
    """Name the digests of the buckets of one group that differed."""

    group: int
    digests: tuple[int, ...]


@dataclass(frozen=True)
class Summary:
    """List key hash and fingerprint of every live record in the buckets; no bucket means all."""

    buckets: tuple[int, ...]
    keys: tuple[int, ...]
    fingerprints: tuple[int, ...]


@dataclass(frozen=True)
class Repair:
    """Carry records that the receiver lacks, and request those that the sender lacks, by hash."""

    wanted: tuple[int, ...] = ()


@dataclass(frozen=True)
class Heartbeat:
    """Forward a backend server's announcement to one of the server's watchers."""

    server_id: ServerId
    boot_id: int
    sequence: int
    state: ServerState


@dataclass(frozen=True)
class SilenceQuery:
    """Ask another watcher whether it has heard the server within the timeout."""

    server_id: ServerId
    boot_id: int


@dataclass(frozen=True)
class SilenceReply:
    """Answer a `SilenceQuery` with the last sequence heard."""

    server_id: ServerId
    boot_id: int
    sequence: int
    silent: bool
    """The sender watches the server and has heard nothing for the timeout."""
    heard: bool
    """The sender has heard the server within the timeout."""
    age_milliseconds: int = 0
    """How long ago it was heard. Without it, two watchers would take each other's answers for new
    signs of life, and a server that is gone would never be declared lost."""


Body: TypeAlias = (
    Ping
    | PingRequest
    | Ack
    | Join
    | Rumour
    | GroupDigests
    | BucketDigests
    | Summary
    | Repair
    | Heartbeat
    | SilenceQuery
    | SilenceReply
)


@dataclass(frozen=True)
class Envelope:
    """One datagram: its sender with revision and digest, a body, and piggybacked updates."""

    sender: InstanceId
    revision: Revision
    """The configuration revision in force at the sender."""
    digest: int
    """Digest of the sender's records of members and servers; 64 bits."""
    body: Body
    updates: tuple[Record, ...] = ()


@dataclass(frozen=True)
class Send:
    """Send the envelope to this `ip:port`."""

    address: str
    envelope: Envelope


@dataclass(frozen=True)
class NewerRevision:
    """An instance has a newer configuration than this one."""

    instance: InstanceId
    revision: Revision


@dataclass(frozen=True)
class MembersChanged:
    """The set of live instances, or one of their records, changed."""


@dataclass(frozen=True)
class ServersChanged:
    """The servers of a service changed, as far as the data plane uses them."""

    service: ServiceName


@dataclass(frozen=True)
class PathCut:
    """An instance answers through helpers but not directly: its path is cut, maybe one way only."""

    instance: InstanceId


@dataclass(frozen=True)
class PathRestored:
    """An instance answers directly again."""

    instance: InstanceId


Effect: TypeAlias = Send | NewerRevision | MembersChanged | ServersChanged | PathCut | PathRestored
