"""False ejections over many hours of well servers with natural noise.

A thousand server-hours are half a billion requests, too many for the simulation of requests. So
this draws the counts that entry instances would send for each slice, failure domain and server,
and gives them to a real assessor. The noise is that of the simulation: pauses, blips, servers that
differ, and in addition bursts of bad requests that fail wherever they go, and load that varies.
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
from persimmonusher_lab.decisions_servers import BLIP_FAILING, make_server
from persimmonusher_lab.decisions_simulation import (
    BLIP_EVERY,
    BLIP_SECONDS,
    NATURAL_FAILING,
    PAUSE_EVERY,
    PAUSE_LONGEST,
    PAUSE_MEAN,
)
from persimmonusher_lab.decisions_sites import GRAZIANI, TAKEUCHI, Site
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId

CHUNK_SLICES: Final = 600
NATURAL_SLOW: Final = (0.10, 0.30)
"""Shares of slow answers of well servers, as the simulation of requests shows them at load 0.7."""
PAUSED_SLOW: Final = 0.95
BACKLOG_SLOW: Final = 0.8
BAD_REQUESTS_EVERY: Final = 60.0
BAD_REQUESTS_SECONDS: Final = 1.0
BAD_REQUESTS_FAILING: Final = 0.05
LOADS: Final = (0.2, 0.9)
Counts = numpy.ndarray[Any, Any]


@dataclass(frozen=True)
class WellHours:
    """Ejections of well servers in so many server-hours."""

    site: str
    server_hours: float
    ejections: int


@dataclass(frozen=True)
class Stretch:
    """One part of the hours, with its own seed."""

    site: str
    seconds: float
    seed: int


def draw_chunk(site: Site, generator: numpy.random.Generator) -> tuple[Counts, ...]:
    """Draw answers, failures and slow answers, each by slice, failure domain and server."""
    shape = (CHUNK_SLICES, site.domains, site.workers)
    load = generator.uniform(*LOADS)
    mean = load * site.capacity / site.workers / site.domains * SLICE_SECONDS
    answers = generator.poisson(mean, shape)
    failing = numpy.tile(generator.uniform(*NATURAL_FAILING, site.workers), (CHUNK_SLICES, 1))
    slow = numpy.tile(generator.uniform(*NATURAL_SLOW, site.workers), (CHUNK_SLICES, 1))
    chunk_seconds = CHUNK_SLICES * SLICE_SECONDS
    for _ in range(generator.poisson(chunk_seconds / BAD_REQUESTS_EVERY)):
        start, end = _draw_span(generator, BAD_REQUESTS_SECONDS)
        failing[start:end, :] += BAD_REQUESTS_FAILING
    for server in range(site.workers):
        for _ in range(generator.poisson(chunk_seconds / BLIP_EVERY)):
            start, end = _draw_span(generator, BLIP_SECONDS)
            failing[start:end, server] = BLIP_FAILING
        for _ in range(generator.poisson(chunk_seconds / PAUSE_EVERY)):
            seconds = min(PAUSE_LONGEST, generator.exponential(PAUSE_MEAN))
            start, end = _draw_span(generator, seconds)
            slow[start:end, server] = PAUSED_SLOW
            slow[end : end + (end - start), server] = BACKLOG_SLOW
    failures = generator.binomial(answers, failing[:, None, :])
    return answers, failures, generator.binomial(answers - failures, slow[:, None, :])


def _draw_span(generator: numpy.random.Generator, seconds: float) -> tuple[int, int]:
    start = int(generator.integers(CHUNK_SLICES))
    return start, start + 1 + round(seconds / SLICE_SECONDS)


def run_stretch(stretch: Stretch) -> WellHours:
    """Run one part of the hours and count the ejections."""
    site = TAKEUCHI if stretch.site == TAKEUCHI.name else GRAZIANI
    generator = numpy.random.default_rng(stretch.seed)
    servers = [make_server(i, site.domains, site.slots, 0) for i in range(site.workers)]
    assessor = Assessor(SERVICE, site.profile, InstanceId("assessor"), 1)
    assessor.replace_servers(servers, 0.0)
    names = [server.server_id for server in servers]
    chunks = int(stretch.seconds / (CHUNK_SLICES * SLICE_SECONDS))
    now = 0.0
    sequence = 0
    ejections = 0
    out: set[ServerId] = set()
    for _ in range(chunks):
        answers, failures, slow = draw_chunk(site, generator)
        for index in range(CHUNK_SLICES):
            sequence += 1
            now += SLICE_SECONDS
            for digest in _make_digests(site, names, answers, failures, slow, index, sequence):
                assessor.receive(digest, now)
            verdict = assessor.assess(now)
            ejected = {
                item.server_id for item in verdict.ejections if item.state is EjectionState.EJECTED
            }
            ejections += len(ejected - out)
            out = ejected
    hours = chunks * CHUNK_SLICES * SLICE_SECONDS / 3600.0 * site.workers
    return WellHours(site.name, hours, ejections)


def _make_digests(
    site: Site,
    names: list[ServerId],
    answers: Counts,
    failures: Counts,
    slow: Counts,
    index: int,
    sequence: int,
) -> Iterator[EvidenceDigest]:
    for domain in range(site.domains):
        rows = zip(
            names,
            answers[index, domain].tolist(),
            failures[index, domain].tolist(),
            slow[index, domain].tolist(),
            strict=True,
        )
        lines = tuple(
            ServerEvidence(name, answered, failed, answered - failed, slow_ones)
            for name, answered, failed, slow_ones in rows
            if answered
        )
        yield EvidenceDigest(
            service=SERVICE,
            instance_id=InstanceId(f"entry-{domain}"),
            incarnation=1,
            sequence=sequence,
            failure_domain=FailureDomain(f"domain-{domain}"),
            servers=lines,
            strikes=(),
        )


def measure_well_hours(site: Site, server_hours: float, processes: int, seed: int = 0) -> WellHours:
    """Run so many server-hours over a few processes."""
    parts = processes * 4
    seconds = server_hours / site.workers * 3600.0 / parts
    stretches = [Stretch(site.name, seconds, seed * 1000 + part) for part in range(parts)]
    with get_context("spawn").Pool(processes) as pool:
        results = pool.map(run_stretch, stretches, chunksize=1)
    return WellHours(
        site.name,
        sum(result.server_hours for result in results),
        sum(result.ejections for result in results),
    )
