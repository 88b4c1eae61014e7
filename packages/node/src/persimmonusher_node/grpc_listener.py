"""A gRPC listener on the shared event loop; it refuses calls without a token."""

from collections.abc import Mapping, Sequence

from grpclib._typing import IServable
from grpclib.server import Server

from persimmonusher_node.loop import run_coroutine
from persimmonusher_node.peers import require_token


class GrpcListener:
    """Serves handlers on one address to clients that carry one of the tokens."""

    def __init__(
        self, address: str, handlers: Sequence[IServable], names_by_token: Mapping[str, str]
    ) -> None:
        self._address = address
        self._server = Server(handlers)
        require_token(self._server, names_by_token)

    def start(self) -> None:
        """Start to accept; raise an OSError that names the address if it can't be bound."""
        host, _, port = self._address.rpartition(":")
        run_coroutine(self._server.start(host, int(port)))

    def stop(self) -> None:
        """Close the listener and its connections."""
        self._server.close()
