"""Counts false ejections over many hours of healthy servers with natural noise.

A thousand server-hours are half a billion requests, too many for the simulation of requests. So
this module draws the counts that entry instances would send for each slice, failure domain and
server, and passes them to a real assessor. The noise is that of the simulation (pauses, blips,
differences between servers) plus varying load and bursts of bad requests that fail on any server.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from multiprocessing import get_context
from typing import Any, Final

import numpy

from persimmonusher_decisions.assessor import Assessor
from persimmonusher_decisions.detection import SLICE_SECONDS
from persimmonusher_decisions.evidence_messages import (
    EjectionState,
    EvidenceDigest,
    ServerEvidence,
)
from persimmonusher_lab.decisions_policies import SERVICE
from persimmonusher_lab.decisions_servers import BLIP_FAILURE_SHARE, make_server
from persimmonusher_lab.decisions_simulation import (
    BLIP_SECONDS,
    MAX_PAUSE_SECONDS,
    MEAN_BLIP_INTERVAL_SECONDS,
    MEAN_PAUSE_INTERVAL_SECONDS,
    MEAN_PAUSE_SECONDS,
    NATURAL_FAILURE_SHARES,
)
from persimmonusher_lab.decisions_sites import GRAZIANI, TAKEUCHI, Site
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId

CHUNK_SLICES: Final = 600
NATURAL_SLOW_SHARES: Final = (0.10, 0.30)
"""Range of the slow share of healthy servers' answers, as in the request simulation at load 0.7."""
PAUSED_SLOW_SHARE: Final = 0.95
BACKLOG_SLOW_SHARE: Final = 0.8
MEAN_BAD_REQUESTS_INTERVAL_SECONDS: Final = 60.0
BAD_REQUESTS_SECONDS: Final = 1.0
BAD_REQUESTS_FAILURE_SHARE: Final = 0.05
LOAD_RANGE: Final = (0.2, 0.9)
Counts = numpy.ndarray[Any, Any]


@dataclass(frozen=True)
class WellHours:
    """Ejections of healthy servers in the given server-hours."""

    site: str
    server_hours: float
    ejections: int


@dataclass(frozen=True)
class Stretch:
    """One part of the simulated time, with its own seed."""

    site: str
    seconds: float
    seed: int


def draw_chunk(site: Site, generator: numpy.random.Generator) -> tuple[Counts, ...]:
    """Draw answers, failures and slow answers, each by slice, failure domain and server."""
    shape = (CHUNK_SLICES, site.domains, site.server_count)
    load = generator.uniform(*LOAD_RANGE)
    mean = load * site.capacity / site.server_count / site.domains * SLICE_SECONDS
    answers = generator.poisson(mean, shape)
    failing = numpy.tile(
        generator.uniform(*NATURAL_FAILURE_SHARES, site.server_count), (CHUNK_SLICES, 1)
    )
    slow = numpy.tile(generator.uniform(*NATURAL_SLOW_SHARES, site.server_count), (CHUNK_SLICES, 1))
    chunk_seconds = CHUNK_SLICES * SLICE_SECONDS
    for _ in range(generator.poisson(chunk_seconds / MEAN_BAD_REQUESTS_INTERVAL_SECONDS)):
        start, end = _draw_span(generator, BAD_REQUESTS_SECONDS)
        failing[start:end, :] += BAD_REQUESTS_FAILURE_SHARE
    for server in range(site.server_count):
        for _ in range(generator.poisson(chunk_seconds / MEAN_BLIP_INTERVAL_SECONDS)):
            start, end = _draw_span(generator, BLIP_SECONDS)
            failing[start:end, server] = BLIP_FAILURE_SHARE
        for _ in range(generator.poisson(chunk_seconds / MEAN_PAUSE_INTERVAL_SECONDS)):
            seconds = min(MAX_PAUSE_SECONDS, generator.exponential(MEAN_PAUSE_SECONDS))
            start, end = _draw_span(generator, seconds)
            slow[start:end, server] = PAUSED_SLOW_SHARE
            slow[end : end + (end - start), server] = BACKLOG_SLOW_SHARE
    failures = generator.binomial(answers, failing[:, None, :])
    return answers, failures, generator.binomial(answers - failures, slow[:, None, :])


def _draw_span(generator: numpy.random.Generator, seconds: float) -> tuple[int, int]:
    start = int(generator.integers(CHUNK_SLICES))
    return start, start + 1 + round(seconds / SLICE_SECONDS)


def run_stretch(stretch: Stretch) -> WellHours:
    """Run one part of the simulated time and count the ejections."""
    site = TAKEUCHI if stretch.site == TAKEUCHI.name else GRAZIANI
    generator = numpy.random.default_rng(stretch.seed)
    servers = [make_server(i, site.domains, site.slots, 0) for i in range(site.server_count)]
    assessor = Assessor(SERVICE, site.profile, InstanceId("assessor"), 1)
    assessor.replace_servers(servers, 0.0)
    server_ids = [server.server_id for server in servers]
    chunks = int(stretch.seconds / (CHUNK_SLICES * SLICE_SECONDS))
    now = 0.0
    sequence = 0
    ejections = 0
    ejected_before: set[ServerId] = set()
    for _ in range(chunks):
        answers, failures, slow = draw_chunk(site, generator)
        for index in range(CHUNK_SLICES):
            sequence += 1
            now += SLICE_SECONDS
            for digest in _make_digests(site, server_ids, answers, failures, slow, index, sequence):
                assessor.receive(digest, now)
            verdict = assessor.assess(now)
            ejected = {
                item.server_id for item in verdict.ejections if item.state is EjectionState.EJECTED
            }
            ejections += len(ejected - ejected_before)
            ejected_before = ejected
    hours = chunks * CHUNK_SLICES * SLICE_SECONDS / 3600.0 * site.server_count
    return WellHours(site.name, hours, ejections)


def _make_digests(
    site: Site,
    server_ids: list[ServerId],
    answers: Counts,
    failures: Counts,
    slow: Counts,
    index: int,
    sequence: int,
) -> Iterator[EvidenceDigest]:
    for domain in range(site.domains):
        rows = zip(
            server_ids,
            answers[index, domain].tolist(),
            failures[index, domain].tolist(),
            slow[index, domain].tolist(),
            strict=True,
        )
        evidence = tuple(
            ServerEvidence(server_id, answered, failed, answered - failed, slow_count)
            for server_id, answered, failed, slow_count in rows
            if answered
        )
        yield EvidenceDigest(
            service=SERVICE,
            instance_id=InstanceId(f"entry-{domain}"),
            incarnation=1,
            sequence=sequence,
            failure_domain=FailureDomain(f"domain-{domain}"),
            servers=evidence,
            strikes=(),
        )


def measure_healthy_hours(
    site: Site, server_hours: float, processes: int, seed: int = 0
) -> WellHours:
    """Run the given server-hours, split over several processes."""
    parts = processes * 4
    seconds = server_hours / site.server_count * 3600.0 / parts
    stretches = [Stretch(site.name, seconds, seed * 1000 + part) for part in range(parts)]
    with get_context("spawn").Pool(processes) as pool:
        results = pool.map(run_stretch, stretches, chunksize=1)
    return WellHours(
        site.name,
        sum(result.server_hours for result in results),
        sum(result.ejections for result in results),
    )
