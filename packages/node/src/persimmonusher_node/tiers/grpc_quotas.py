"""The calls by which an entry gets quota, over gRPC."""

from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.tiers.quota_port import QuotaPort
from persimmonusher_node.tiers.quota_service import MAX_MAJORITY_AGE_SECONDS
from persimmonusher_protocol import control_pb2 as pb
from persimmonusher_protocol.control_grpc import ControlStub, PeersStub, QuotasStub


class GrpcQuotas(QuotaPort):
    """Calls keepers and entries through the process's channels."""

    def __init__(self, channels: ChannelPool) -> None:
        self._channels = channels

    async def take(self, keeper: str, request: pb.QuotaRequest, timeout: float) -> pb.QuotaReply:
        """Ask a keeper for tokens."""
        return await QuotasStub(self._channels.get(keeper)).Take(request, timeout=timeout)

    async def take_through(
        self, peer: str, request: pb.QuotaRequest, timeout: float
    ) -> pb.QuotaReply:
        """Ask another entry to forward a request for tokens, or whether it can."""
        return await PeersStub(self._channels.get(peer)).TakeQuota(request, timeout=timeout)

    async def check(self, keeper: str, timeout: float) -> bool:
        """Return whether a keeper is in recent contact with a majority."""
        stub = ControlStub(self._channels.get(keeper))
        standing = await stub.ReportLoad(pb.LoadReport(), timeout=timeout)
        age_ms = standing.majority_age_ms
        return standing.HasField("majority_age_ms") and age_ms < MAX_MAJORITY_AGE_SECONDS * 1000.0
