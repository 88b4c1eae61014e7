"""The calls by which an entry gets quota, as a port, so that the search works without a network."""

from abc import ABC, abstractmethod

from persimmonusher_protocol import control_pb2 as pb


class QuotaPort(ABC):
    """Calls to keepers and to other entries; each raises one of `CALL_ERRORS` when it fails."""

    @abstractmethod
    async def take(self, keeper: str, request: pb.QuotaRequest, timeout: float) -> pb.QuotaReply:
        """Ask a keeper for tokens; `timeout` is in seconds, as in all calls."""

    @abstractmethod
    async def take_through(
        self, peer: str, request: pb.QuotaRequest, timeout: float
    ) -> pb.QuotaReply:
        """Ask another entry to forward a request for tokens, or whether it can."""

    @abstractmethod
    async def check(self, keeper: str, timeout: float) -> bool:
        """Ask a keeper whether it may grant tokens, without taking any."""
