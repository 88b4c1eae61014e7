"""The calls of an entry to the keepers, as a port, so that following works without a network."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, Mapping, Sequence
from dataclasses import dataclass, field

from persimmonusher_agreement.keeper_choice import KeeperPlace
from persimmonusher_decisions.costs import CostSample
from persimmonusher_decisions.notices import Notice
from persimmonusher_model.identifiers import Revision, ServerId
from persimmonusher_protocol import control_pb2


@dataclass(frozen=True)
class KeeperAnswer:
    """A keeper's answer to the question how fresh its configuration is."""

    place: KeeperPlace
    asked_at: float
    """Reading of the own clock when the question was sent."""
    age: float
    """The keeper's own staleness in seconds when it answered."""
    revision: Revision
    """The revision that the keeper held when it answered."""

    @property
    def known_at(self) -> float:
        """Return a reading of the own clock; all changes acknowledged before are in `revision`."""
        return self.asked_at - self.age


@dataclass(frozen=True)
class ReportedLoads:
    """What an entry reports to the keeper that it follows."""

    in_progress: Mapping[ServerId, int] = field(default_factory=dict)
    """Requests in progress by server."""
    work: Mapping[ServerId, float] | None = None
    """Expected seconds of work by server; None if none of the services is work-aware."""
    costs: tuple[CostSample, ...] = ()


class KeeperPort(ABC):
    """Calls to a keeper; each raises one of `CALL_ERRORS` when it fails."""

    @abstractmethod
    async def ask_freshness(
        self, place: KeeperPlace, loads: ReportedLoads | None
    ) -> KeeperAnswer | None:
        """Ask for the keeper's freshness; return None while its log isn't open.

        `loads` are what this entry reports; None asks without a report.
        """

    @abstractmethod
    async def list_keepers(self, place: KeeperPlace) -> Sequence[KeeperPlace]:
        """List the keepers that a keeper's log names."""

    @abstractmethod
    def follow(
        self, place: KeeperPlace, since: Revision
    ) -> AsyncGenerator[control_pb2.FollowUpdate, None]:
        """Open a stream and yield its updates; it ends when the generator is closed."""

    @abstractmethod
    async def report(self, place: KeeperPlace, notices: Sequence[Notice]) -> None:
        """Send notices to be relayed to all entries."""

    @abstractmethod
    def reconnect(self, place: KeeperPlace) -> None:
        """Make the next call open a new connection."""
