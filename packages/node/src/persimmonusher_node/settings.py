"""The daemon's settings, as frozen data."""

from enum import StrEnum
from typing import Annotated, Any, Final, Literal

from pydantic import BaseModel, ConfigDict, Field

Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
"""An `ip:port` pair."""
OptionalAddress = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$")]
"""An `ip:port` pair, or empty."""


class Role(StrEnum):
    """What an instance does in the fleet."""

    COMBINED = "combined"
    """Serves callers, finds the other instances by gossip, and may keep the configuration log."""
    ENTRY = "entry"
    """Serves callers and follows a keeper, from which it gets everything else."""
    KEEPER = "keeper"
    """Keeps the configuration log, backend servers' registrations and the routing document."""


REQUIRED_LISTENERS: Final = {
    Role.COMBINED: ("callers", "announcements", "peers", "operators", "metrics"),
    Role.ENTRY: ("callers", "ready", "metrics"),
    Role.KEEPER: ("control", "peers", "metrics"),
}


class Listeners(BaseModel):
    """Where the instance listens, with a separate address for each kind of client.

    Empty where the instance's role has no such listener; `REQUIRED_LISTENERS` lists those of each
    role.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    callers: OptionalAddress = ""
    announcements: OptionalAddress = ""
    peers: OptionalAddress = ""
    """TCP for gRPC, and UDP on the same port for membership."""
    operators: OptionalAddress = ""
    metrics: OptionalAddress = ""
    ready: OptionalAddress = ""
    """Where the load balancer checks whether an entry accepts callers' requests."""
    relay: OptionalAddress = ""
    """Where an entry opens connections to backend servers for other entries."""
    control: OptionalAddress = ""
    """Where backend servers and operators reach a keeper by HTTP."""


class Limits(BaseModel):
    """Limits of the callers' listener, against slow, huge and too many requests."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    connections: int = Field(default=1024, ge=1, le=60_000)
    """Callers' connections at one time; more are answered with 503 at once."""
    idle_seconds: float = Field(default=60.0, gt=0, le=3600)
    head_seconds: float = Field(default=10.0, gt=0, le=600)
    body_seconds: float = Field(default=30.0, gt=0, le=600)
    write_seconds: float = Field(default=30.0, gt=0, le=600)
    buffered_answer_bytes: int = Field(default=1_048_576, ge=16_384, le=67_108_864)
    """Answers up to this size are buffered until complete; longer ones are streamed, and their end
    is checked. With a limit below eventlet's write size of 4 KB, a stream could be cut off before
    its head was sent."""
    large_body_bytes: int = Field(default=33_554_432, ge=65_536, le=1_073_741_824)
    """Memory for bodies and answers of all requests on routes with large bodies; a request beyond
    it is answered with 503."""
    document_memory_bytes: int = Field(default=134_217_728, ge=1_048_576, le=17_179_869_184)
    """Memory that a routing document may take at a keeper while it is checked, as estimated from
    its text: some 1,500 bytes for each route. A document beyond it is refused."""
    held_bytes: int = Field(default=33_554_432, ge=1_048_576, le=1_073_741_824)
    """Memory for all other bodies and answers; a body beyond it is answered with 503, an answer
    beyond it is streamed. Bodies that have stopped arriving give way first."""
    unread_seconds: float = Field(default=5.0, gt=0, le=600)
    """How long a caller on such a route may read nothing of an answer that exceeds its memory."""


class ClaimSettings(BaseModel):
    """Claims on Idempotency-Keys; the same on every instance of the fleet."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    founding_instances: int = Field(default=5, ge=1, le=10_000)
    """Number of live instances that the first roster waits for. Fewer than 5 is for trials: with
    one or two instances, a restart makes keyed requests wait for the longest window."""
    longest_window_seconds: float = Field(default=900.0, ge=1, le=86_400)
    """Longest time for which a key is kept; longer windows of profiles are cut to it. After a
    restart of the whole fleet at once, keyed requests are refused, as not run, for this time."""


class Bounds(BaseModel):
    """Bounds that the deployment states, in its own units; settings left out derive from them.

    Any of them may be a fraction, or be unknown.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    change_in_force_ms: float | None = Field(default=None, gt=0, le=600_000)
    """Time within which an accepted change must be in force everywhere."""
    kill_after_seconds: float | None = Field(default=None, gt=0, le=3_600)
    """Time between the supervisor's stop signal and its kill."""
    retry_ratio: float | None = Field(default=None, ge=0, le=1)
    """Retries of a service in a window of time, as a fraction of its requests."""
    retry_slack: float | None = Field(default=None, ge=0, le=100_000)
    """Number of retries allowed beyond that fraction, over all instances together."""
    quota_window_seconds: float | None = Field(default=None, gt=0, le=3_600)
    """Length of the window in which an organisation's requests are compared with its quota."""
    quota_overshoot: float | None = Field(default=None, ge=0, le=1)
    """Fraction of the quota by which the requests in that window may exceed it."""
    quota_slack: float | None = Field(default=None, ge=0, le=100_000)
    """Number of requests allowed beyond that fraction."""


class Keeper(BaseModel):
    """One of the first keepers of the configuration log."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    instance_id: str
    address: Address
    """The keeper's peer interface."""


class Settings(BaseModel):
    """All settings of one instance."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    instance_id: str
    failure_domain: str
    role: Role = Role.COMBINED
    listen: Listeners
    seeds: tuple[Address, ...] = ()
    """Peer interfaces of some other instances, through which this one finds the fleet; for an entry
    or a keeper, those of keepers."""
    seeds_port: int | None = Field(default=None, ge=1, le=65_535)
    """The port of the seeds' peer interface, where `seeds` names another port of the seeds."""
    relay_port_offset: int | None = Field(default=None, ge=1, le=1_000)
    """Difference between the ports of `listen.relay`, where that is left out, and `listen.peers`;
    for a platform that names only the first of a range of ports."""
    bootstrap: bool = False
    """Whether the whole fleet starts for the first time, with empty disks: a new log may be
    formed."""
    tolerated_losses: int = Field(default=1, ge=0, le=10)
    """Number f of keepers' disks that may be lost at once: 2 f + 1 keepers vote, and f + 1 copies
    are synced before a change is acknowledged."""
    stale_seconds: float = Field(default=2.0, gt=0, le=600)
    """Time within which an accepted change must be in force. An entry that has had no sign of a
    majority of keepers for longer does not answer `no route`, since a route may have been added."""
    bounds: Bounds = Bounds()
    default_profile: dict[str, Any] = {}
    """Profile document for the routing document's services that have no profile of their own."""
    terms: tuple[str, ...] = ()
    """Names of the terms that the deployment's operator agreed to."""
    contended_terms: tuple[str, ...] = ()
    """Terms by which callers compete for capacity; with one of them `contended_profile` applies."""
    contended_profile: dict[str, Any] = {}
    """Fields that replace those of `default_profile` under contention: with one of
    `contended_terms`, or while the routing document has routes with large bodies."""
    stop_seconds: float | None = Field(default=None, gt=0, le=3600)
    """Longest duration of a graceful stop, where the supervisor kills the process after it."""
    keepers: tuple[Keeper, ...] = ()
    """The first keepers; an instance that is listed here and has a data folder is a keeper."""
    data_folder: str | None = None
    peer_token: str
    """Shared by all instances; calls to a peer interface without it are refused."""
    operator_tokens: dict[str, str] = {}
    """Tokens by operator name."""
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    log_format: Literal["json", "console"] = "json"
    assessor: bool = False
    """Whether the instance is reserved for assessing services; with two or more such instances, no
    other instance assesses."""
    heartbeat_timeout_seconds: float = Field(default=5.0, ge=0.5, le=600)
    """A backend server that has not announced itself for this long counts as lost."""
    stop_delay_seconds: float = Field(default=1.0, ge=0, le=600)
    """Time between the health path's first 503 and the close of the listener, so that the load
    balancer notices: at least two of its check intervals."""
    memory_mb: float | None = Field(default=None, gt=0, le=1_000_000)
    """Memory of the process's machine in megabytes, where it is known; `limits.connections` is
    lowered to what fits into it."""
    limits: Limits = Limits()
    claims: ClaimSettings = ClaimSettings()

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Return the peer interfaces of the seeds."""
        if self.seeds_port is None:
            return self.seeds
        return tuple(f"{seed.rpartition(':')[0]}:{self.seeds_port}" for seed in self.seeds)

    @property
    def is_contended(self) -> bool:
        """Return whether callers compete for capacity by the terms of the deployment."""
        return not set(self.contended_terms).isdisjoint(self.terms)

    @property
    def is_keeper(self) -> bool:
        """Return whether this instance is one of the first keepers."""
        return any(keeper.instance_id == self.instance_id for keeper in self.keepers)

    @property
    def roles(self) -> tuple[str, ...]:
        """Return the roles that membership announces to other instances."""
        keeper = ("keeper",) if self.is_keeper else ()
        assessor = ("assessor",) if self.assessor else ()
        return ("entry", *keeper, *assessor)
