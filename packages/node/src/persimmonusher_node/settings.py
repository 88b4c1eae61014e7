"""The daemon's settings, as frozen data."""

from enum import StrEnum
from typing import Annotated, Any, Final, Literal

from pydantic import BaseModel, ConfigDict, Field

Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
"""An `ip:port` pair."""
OptionalAddress = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$")]
"""An `ip:port` pair, or empty."""


class Role(StrEnum):
    """What an instance does."""

    COMBINED = "combined"
    """Takes callers' requests, knows the other instances by gossip, and may keep the log."""
    ENTRY = "entry"
    """Takes callers' requests and follows a keeper, which tells it all else."""
    KEEPER = "keeper"
    """Keeps the log, backend servers' registrations and the routing document."""


REQUIRED_LISTENERS: Final = {
    Role.COMBINED: ("callers", "announcements", "peers", "operators", "metrics"),
    Role.ENTRY: ("callers", "ready", "metrics"),
    Role.KEEPER: ("control", "peers", "metrics"),
}


class Listeners(BaseModel):
    """Where the instance listens, each kind of client apart from the others.

    Empty where the instance's role has no such listener; `REQUIRED_LISTENERS` says what each has.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    callers: OptionalAddress = ""
    announcements: OptionalAddress = ""
    peers: OptionalAddress = ""
    """TCP for gRPC, and UDP on the same port for membership."""
    operators: OptionalAddress = ""
    metrics: OptionalAddress = ""
    ready: OptionalAddress = ""
    """Where the balancer asks an entry whether it takes callers."""
    control: OptionalAddress = ""
    """Where backend servers and operators reach a keeper by HTTP."""


class Limits(BaseModel):
    """Bounds of the callers' listener, against slow, huge and too many requests."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    connections: int = Field(default=1024, ge=1, le=60_000)
    """Callers' connections at one time; more are answered with 503 at once."""
    idle_seconds: float = Field(default=60.0, gt=0, le=3600)
    head_seconds: float = Field(default=10.0, gt=0, le=600)
    body_seconds: float = Field(default=30.0, gt=0, le=600)
    write_seconds: float = Field(default=30.0, gt=0, le=600)
    buffered_answer_bytes: int = Field(default=1_048_576, ge=16_384, le=67_108_864)
    """Answers up to this size are held until whole; longer ones stream with a checked end.
    Below eventlet's write size of 4 KB, a cut-off stream would end before its head was sent."""


class ClaimSettings(BaseModel):
    """Claims on Idempotency-Keys; the same on every instance of the fleet."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    founding_instances: int = Field(default=5, ge=1, le=10_000)
    """Live instances that the first roster waits for. Fewer than 5 is for trials: with one or two
    instances, a restart makes keyed requests wait for the longest window."""
    longest_window_seconds: float = Field(default=900.0, ge=1, le=86_400)
    """Longest time for which a key is kept; profiles' windows end here. After a restart of the
    whole fleet at once, keyed requests are refused, as not run, for so long."""


class Bounds(BaseModel):
    """What the surroundings state, in their own units; settings that are left out follow from it.

    Any of them may be a fraction, or be unknown.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    change_in_force_ms: float | None = Field(default=None, gt=0, le=600_000)
    """Time within which an accepted change is to be in force everywhere."""
    kill_after_seconds: float | None = Field(default=None, gt=0, le=3_600)
    """Time after which the supervisor kills a process that it has told to stop."""
    retry_ratio: float | None = Field(default=None, ge=0, le=1)
    """Further attempts of a service in a window of time, as a part of its requests."""
    retry_slack: float | None = Field(default=None, ge=0, le=100_000)
    """The same beyond that part, of all instances together."""
    quota_window_seconds: float | None = Field(default=None, gt=0, le=3_600)
    """The time over which an organisation's requests are held against its quota."""
    quota_overshoot: float | None = Field(default=None, ge=0, le=1)
    """Part of a quota by which the requests in that time may exceed it."""
    quota_slack: float | None = Field(default=None, ge=0, le=100_000)
    """Requests beyond that part."""


class Keeper(BaseModel):
    """One of the first keepers of the configuration log."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    instance_id: str
    address: Address
    """Its peer interface."""


class Settings(BaseModel):
    """All settings of one instance."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    instance_id: str
    failure_domain: str
    role: Role = Role.COMBINED
    listen: Listeners
    seeds: tuple[Address, ...] = ()
    """Peer interfaces of some other instances, to find the fleet by; for an entry or a keeper,
    those of keepers."""
    seeds_port: int | None = Field(default=None, ge=1, le=65_535)
    """The port of the seeds' peer interface, where `seeds` names another one of theirs."""
    bootstrap: bool = False
    """The whole fleet starts for the first time, with empty disks: a log may be formed."""
    tolerated_losses: int = Field(default=1, ge=0, le=10)
    """Keepers' disks that may be lost at once: 2 f + 1 keepers vote, f + 1 copies are synced before
    a change is acknowledged."""
    stale_seconds: float = Field(default=2.0, gt=0, le=600)
    """An entry that has heard of no majority of keepers for longer says of no route that there is
    none; the time in which an accepted change is to be in force."""
    bounds: Bounds = Bounds()
    default_profile: dict[str, Any] = {}
    """The profile document of the routing document's services that have none of their own."""
    stop_seconds: float | None = Field(default=None, gt=0, le=3600)
    """The longest a graceful stop may take, where the supervisor kills the process after it."""
    keepers: tuple[Keeper, ...] = ()
    """The first keepers; an instance that finds itself here, and has a data folder, is one."""
    data_folder: str | None = None
    peer_token: str
    """Shared by all instances; a call without it is refused."""
    operator_tokens: dict[str, str] = {}
    """Each operator's name and token."""
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    log_format: Literal["json", "console"] = "json"
    assessor: bool = False
    """Set aside for assessing services; where two or more are, no other instance assesses."""
    heartbeat_timeout_seconds: float = Field(default=5.0, ge=0.5, le=600)
    """A backend server that has not announced itself for this long is taken as lost."""
    stop_delay_seconds: float = Field(default=1.0, ge=0, le=600)
    """Time between the health path's first 503 and the closed listener, for the balancer to see
    it: at least two of its check periods."""
    limits: Limits = Limits()
    claims: ClaimSettings = ClaimSettings()

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Return the peer interfaces of the seeds."""
        if self.seeds_port is None:
            return self.seeds
        return tuple(f"{seed.rpartition(':')[0]}:{self.seeds_port}" for seed in self.seeds)

    @property
    def is_keeper(self) -> bool:
        """Tell whether this instance is one of the first keepers."""
        return any(keeper.instance_id == self.instance_id for keeper in self.keepers)

    @property
    def roles(self) -> tuple[str, ...]:
        """Return the roles that other instances are told of."""
        keeper = ("keeper",) if self.is_keeper else ()
        assessor = ("assessor",) if self.assessor else ()
        return ("entry", *keeper, *assessor)
