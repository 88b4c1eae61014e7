"""The daemon's settings, as frozen data."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
"""An `ip:port` pair."""


class Listeners(BaseModel):
    """Where the instance listens, each kind of client apart from the others."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    callers: Address
    announcements: Address
    peers: Address
    """TCP for gRPC, and UDP on the same port for membership."""
    operators: Address
    metrics: Address


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
    listen: Listeners
    seeds: tuple[Address, ...] = ()
    """Peer interfaces of some other instances, to find the fleet by."""
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
    def is_keeper(self) -> bool:
        """Tell whether this instance is one of the first keepers."""
        return any(keeper.instance_id == self.instance_id for keeper in self.keepers)

    @property
    def roles(self) -> tuple[str, ...]:
        """Return the roles that other instances are told of."""
        keeper = ("keeper",) if self.is_keeper else ()
        assessor = ("assessor",) if self.assessor else ()
        return ("entry", *keeper, *assessor)
