"""The interface of the daemon's parts; each ends what it started when its context is left."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from types import TracebackType
from typing import Self

from grpclib._typing import IServable


class Component(ABC):
    """A context manager that may also serve calls from peers and operators.

    The daemon collects the handlers of all components, starts one server for each listener, and
    then enters the components in order. It leaves them in reverse order.
    """

    def list_peer_handlers(self) -> Sequence[IServable]:
        """List the gRPC services that other instances may call."""
        return ()

    def list_operator_handlers(self) -> Sequence[IServable]:
        """List the gRPC services that operators may call."""
        return ()

    @abstractmethod
    def start(self) -> None:
        """Start background work; called in a green thread with the loop running."""

    @abstractmethod
    def stop(self) -> None:
        """End background work and release resources; safe to call twice."""

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()
