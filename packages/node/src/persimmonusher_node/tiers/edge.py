"""Ports of an adapter for another system's names, formats and calls.

The adapter translates; it decides nothing. What it is given here are the product's own types.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from persimmonusher_agreement.registration import Registration
from persimmonusher_model.routing import DocumentCodec
from persimmonusher_node.dialect import Dialect
from persimmonusher_node.listener import WsgiApplication


@dataclass(frozen=True)
class Heartbeat:
    """What a backend server is told when its registration was taken."""

    address: str | None
    """A keeper in the server's failure domain for later heartbeats, or None for any."""


class ControlPort(ABC):
    """What backend servers and operators may ask of a keeper.

    Each call waits in its green thread for a majority where one is needed, and raises UsherError:
    NO_QUORUM or UNAVAILABLE where the outcome is unknown or nothing was done and another keeper
    may help; any other code says that the input is at fault.
    """

    @abstractmethod
    def register(self, registration: Registration) -> Heartbeat:
        """Take what a server says of itself; a change of it is held by a majority on return."""

    @abstractmethod
    def deregister(self, server_id: str, boot: int | None) -> None:
        """Take that a server has ended; held by a majority on return."""

    @abstractmethod
    def replace_document(self, content: bytes) -> None:
        """Put a routing document in force unless a higher version is; held on return."""

    @abstractmethod
    def read_document(self) -> bytes | None:
        """Return the document in force, which a majority confirmed, or None before the first."""


class Edge(ABC):
    """An adapter: the other system's header names, document form, and control calls."""

    @property
    @abstractmethod
    def dialect(self) -> Dialect:
        """Return the header names of callers and backend servers."""

    @property
    @abstractmethod
    def codec(self) -> DocumentCodec:
        """Return the reader of routing documents."""

    @abstractmethod
    def make_control(self, port: ControlPort) -> WsgiApplication:
        """Make the application that answers backend servers and operators."""
