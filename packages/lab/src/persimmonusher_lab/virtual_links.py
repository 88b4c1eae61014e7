"""Faults of the links between virtual instances, for chosen kinds of messages."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from random import Random
from typing import Any

from persimmonusher_agreement.membership_messages import Envelope


@dataclass(frozen=True)
class LinkFault(ABC):
    """Changes when, and how often, a datagram arrives; `None` as kind means every kind."""

    kind: type[Any] | None = None
    probability: float = 1.0

    def apply(
        self, delays: list[float], sender: int, target: int, envelope: Envelope, random: Random
    ) -> list[float]:
        """Return the delay of each copy that arrives, in seconds."""
        if self.kind is not None and not isinstance(envelope.body, self.kind):
            return delays
        if random.random() >= self.probability:
            return delays
        return self.change(delays, random)

    @abstractmethod
    def change(self, delays: list[float], random: Random) -> list[float]:
        """Return the delays under the fault."""


@dataclass(frozen=True)
class Lost(LinkFault):
    """The datagram never arrives."""

    def change(self, delays: list[float], random: Random) -> list[float]:
        """Drop every copy."""
        return []


@dataclass(frozen=True)
class Delayed(LinkFault):
    """The datagram arrives late."""

    seconds: float = 2.0

    def change(self, delays: list[float], random: Random) -> list[float]:
        """Add the delay to every copy."""
        return [delay + self.seconds for delay in delays]


@dataclass(frozen=True)
class Duplicated(LinkFault):
    """The datagram arrives at once and again later."""

    seconds: float = 1.0

    def change(self, delays: list[float], random: Random) -> list[float]:
        """Add a later copy of each."""
        return [*delays, *(delay + self.seconds for delay in delays)]


@dataclass(frozen=True)
class Reordered(LinkFault):
    """Datagrams overtake each other."""

    seconds: float = 0.5

    def change(self, delays: list[float], random: Random) -> list[float]:
        """Add a random delay to each copy."""
        return [delay + random.uniform(0.0, self.seconds) for delay in delays]
