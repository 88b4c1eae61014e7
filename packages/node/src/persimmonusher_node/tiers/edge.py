"""Ports of an adapter for another system's names, formats and calls.

The adapter translates and decides nothing. These ports use the product's own types only.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from persimmonusher_agreement.registration import Registration
from persimmonusher_model.routing import DocumentCodec
from persimmonusher_node.dialect import Dialect
from persimmonusher_node.listener import WsgiApplication
from persimmonusher_node.refusal_log import RefusalLog


@dataclass(frozen=True)
class RegistrationReply:
    """The answer to a backend server whose registration was accepted."""

    address: str | None
    """A keeper in the server's failure domain for later heartbeats, or None for any."""


class ControlPort(ABC):
    """The calls of backend servers and operators to a keeper.

    Each call waits in its green thread for a majority where one is needed, and raises UsherError:
    NO_QUORUM or UNAVAILABLE if the outcome is unknown or nothing was done, so that another keeper
    may help; any other code means that the input is at fault.
    """

    @abstractmethod
    def register(self, registration: Registration) -> RegistrationReply:
        """Accept a server's registration; a majority holds any change in it on return."""

    @abstractmethod
    def deregister(self, server_id: str, boot: int | None) -> None:
        """Record that a server has ended; a majority holds this on return."""

    @abstractmethod
    def replace_document(self, content: bytes) -> None:
        """Put a routing document in force unless a version as high is; held on return."""

    @abstractmethod
    def read_document(self) -> bytes | None:
        """Return the document in force, confirmed by a majority, or None before the first."""


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
    def make_control(self, port: ControlPort, refusals: RefusalLog) -> WsgiApplication:
        """Make the application that answers backend servers and operators.

        It records the calls that it refuses in `refusals`.
        """
