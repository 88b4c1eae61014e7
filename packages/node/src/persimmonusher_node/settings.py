"""The daemon's settings, as frozen data."""

from typing import Annotated

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
    log_level: str = "info"
    log_format: str = "json"
    heartbeat_timeout_seconds: float = 5.0
    """A backend server that has not announced itself for this long is taken as lost."""

    @property
    def is_keeper(self) -> bool:
        """Tell whether this instance is one of the first keepers."""
        return any(keeper.instance_id == self.instance_id for keeper in self.keepers)
