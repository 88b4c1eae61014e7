"""Run the cases over seeds, in several processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from multiprocessing import get_context
from typing import Any, Final

from persimmonusher_lab.decisions_cases import CASES
from persimmonusher_lab.decisions_figures import RunFigures, measure, summarize
from persimmonusher_lab.decisions_policies import BASELINES
from persimmonusher_lab.decisions_simulation import Simulation
from persimmonusher_lab.decisions_sites import GRAZIANI, TAKEUCHI

SITES: Final = {site.name: site for site in (TAKEUCHI, GRAZIANI)}
POLICIES: Final = ("usher", *BASELINES)


@dataclass(frozen=True)
class Job:
    """One case to run at one site under one policy, with one seed."""

    site: str
    case: str
    policy: str
    seed: int


@dataclass(frozen=True)
class Result:
    """A run with its figures and the assessor's notes."""

    job: Job
    figures: RunFigures
    notes: dict[str, int]


def run_job(job: Job) -> Result:
    """Run one job and measure it."""
    case = next(case for case in CASES if case.name == job.case)
    simulation = Simulation(SITES[job.site], case, job.policy, job.seed)
    tally = simulation.run()
    return Result(job, measure(simulation, tally), dict(tally.notes))


def list_jobs(
    seeds: int,
    cases: Iterable[str] = (),
    policies: Iterable[str] = POLICIES,
    sites: Iterable[str] = tuple(SITES),
) -> list[Job]:
    """List the runs of the named cases, or of all cases if none is named."""
    chosen = set(cases)
    return [
        Job(site, case.name, policy, seed)
        for site in sites
        for case in CASES
        if not chosen or case.name in chosen
        for policy in policies
        for seed in range(seeds)
    ]


def run_jobs(jobs: list[Job], processes: int) -> list[Result]:
    """Run all jobs and return their results in order."""
    with get_context("spawn").Pool(processes) as pool:
        return pool.map(run_job, jobs, chunksize=4)


def collect(results: Iterable[Result]) -> dict[str, Any]:
    """Return the spread of each figure by site, case and policy."""
    groups: dict[tuple[str, str, str], list[Result]] = {}
    for result in results:
        job = result.job
        groups.setdefault((job.site, job.case, job.policy), []).append(result)
    document: dict[str, Any] = {}
    for (site, case, policy), group in groups.items():
        summary: dict[str, Any] = summarize([result.figures for result in group])
        summary["notes"] = sorted({note for result in group for note in result.notes if note})
        document.setdefault(site, {}).setdefault(case, {})[policy] = summary
    return document
