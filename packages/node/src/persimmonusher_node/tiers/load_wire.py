"""The wire form of work in progress and of cost samples, within a number of bytes."""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from heapq import nlargest
from math import exp2, log2
from typing import Final

from google.protobuf.message import DecodeError

from persimmonusher_decisions.costs import CostSample
from persimmonusher_decisions.server_work import WorkInProgress
from persimmonusher_model.identifiers import ServiceName
from persimmonusher_protocol import control_pb2 as pb

MIN_PACKED_SERVERS: Final = 16
"""Fewer servers are sent as they are: compressing them would save little."""
LEAST_BYTES_PER_SERVER: Final = 3
"""Bytes below which no server fits: requests and work alone take three when compressed."""
SHRINK_MARGIN: Final = 0.97
"""Part of the estimated number of servers that is tried next when the former didn't fit."""
MAX_TABLE_BYTES: Final = 16_777_216
"""Most bytes that a table may unpack to: without a limit, an oversized one would end the
process."""
SAMPLE_OVERHEAD_BYTES: Final = 2
"""Tag and length of a sample in its message."""
STEPS_PER_OCTAVE: Final = 32
"""Steps in which a table states a time that doubles: within 1.1%, which takes a byte less for each
server than milliseconds."""
MAX_OCTAVES: Final = 32.0
MAX_UINT32: Final = 4_294_967_295


@dataclass(frozen=True)
class PackedLoads:
    """Servers with work, as loads or as a packed table; one of the two is empty."""

    loads: list[pb.Load]
    table: bytes
    left_out_ms: int
    """The most work of a server that didn't fit; 0 if all did."""


def pack_loads(work: Mapping[str, WorkInProgress], max_bytes: int) -> PackedLoads:
    """Return the busiest servers that fit into a number of bytes."""
    count = min(len(work), max_bytes // LEAST_BYTES_PER_SERVER)
    busiest = nlargest(count + 1, work, key=lambda server: (work[server].seconds, server))
    while True:
        packed = pack_busiest(busiest[:count], work)
        size = len(packed.table) + pb.LoadSums(loads=packed.loads).ByteSize()
        if size <= max_bytes:
            break
        count = min(count - 1, int(count * max_bytes / size * SHRINK_MARGIN))
    if count == len(work):
        return packed
    return replace(packed, left_out_ms=to_milliseconds(work[busiest[count]].seconds))


def pack_busiest(servers: Iterable[str], work: Mapping[str, WorkInProgress]) -> PackedLoads:
    """Return all of some servers."""
    chosen = sorted(servers)
    if len(chosen) < MIN_PACKED_SERVERS:
        return PackedLoads([make_load(server, work[server]) for server in chosen], b"", 0)
    return PackedLoads([], pack_table(chosen, work), 0)


def make_load(server: str, work: WorkInProgress) -> pb.Load:
    """Return the wire form of the work at one server."""
    return pb.Load(
        server=server,
        in_progress=min(MAX_UINT32, work.requests),
        work_ms=to_milliseconds(work.seconds),
    )


def to_milliseconds(seconds: float) -> int:
    """Return milliseconds for the wire, at least 1: 0 stands for an unknown time."""
    return min(MAX_UINT32, max(1, round(seconds * 1000.0)))


def to_steps(seconds: float) -> int:
    """Return a time on the scale of a table, at least 1."""
    return max(1, round(STEPS_PER_OCTAVE * log2(1.0 + max(0.0, seconds) * 1000.0)))


def from_steps(steps: int) -> float:
    """Return the seconds of a time on the scale of a table."""
    return (exp2(min(MAX_OCTAVES, steps / STEPS_PER_OCTAVE)) - 1.0) / 1000.0


def pack_table(servers: Iterable[str], work: Mapping[str, WorkInProgress]) -> bytes:
    """Return a compressed table of some servers."""
    table = pb.LoadTable(
        servers=servers,
        in_progress=(min(MAX_UINT32, work[server].requests) for server in servers),
        work_steps=(to_steps(work[server].seconds) for server in servers),
    )
    return zlib.compress(table.SerializeToString(), 9)


def unpack_loads(loads: Iterable[pb.Load], packed: bytes) -> dict[str, WorkInProgress] | None:
    """Return the work by server; None for a table that can't be read.

    Loads without work are left out.
    """
    if not packed:
        rows = [(one.server, one.in_progress, one.work_ms / 1000.0) for one in loads]
    else:
        table = unpack_table(packed)
        if table is None:
            return None
        work = map(from_steps, table.work_steps)
        rows = list(zip(table.servers, table.in_progress, work, strict=False))
    return {
        server: WorkInProgress(requests, seconds) for server, requests, seconds in rows if seconds
    }


def unpack_table(packed: bytes) -> pb.LoadTable | None:
    """Return the table of its compressed form, or None if that can't be read."""
    unpacking = zlib.decompressobj()
    try:
        data = unpacking.decompress(packed, MAX_TABLE_BYTES)
        return pb.LoadTable.FromString(data) if unpacking.eof else None
    except (zlib.error, DecodeError):
        return None


def encode_sample(sample: CostSample) -> pb.CostSample:
    """Return the wire form of a cost sample."""
    return pb.CostSample(
        service=sample.service,
        kind=sample.kind,
        count=sample.count,
        mean_ms=to_milliseconds(sample.mean_seconds),
    )


def decode_sample(wire: pb.CostSample) -> CostSample:
    """Return the cost sample of a wire message."""
    return CostSample(ServiceName(wire.service), wire.kind, wire.count, wire.mean_ms / 1000.0)


def measure_sample(sample: CostSample) -> int:
    """Return the bytes that a sample takes in a message, at most two of them too few."""
    return encode_sample(sample).ByteSize() + SAMPLE_OVERHEAD_BYTES
