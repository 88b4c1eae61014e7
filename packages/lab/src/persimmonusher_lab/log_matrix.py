"""The fault matrix of the keepers' log: every message step by every fault, alone and in pairs.

`python -m persimmonusher_lab.log_matrix --pairs 2000` runs all single faults and a seeded sample
of pairs, or all of them with `--pairs 0`. Each failure prints its trace and the command that
replays it.
"""

import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from random import Random
from typing import Annotated, Final

import typer

from persimmonusher_lab.log_faults import Fault, FaultKind, Step
from persimmonusher_lab.log_invariants import InvariantError
from persimmonusher_lab.log_schedule import LONG_FAULT_SECONDS, LogSchedule

OCCURRENCES: Final = {
    Step.PRE_VOTE_REQUEST: (1, 3, 5),
    Step.PRE_VOTE_REPLY: (1, 2, 3),
    Step.VOTE_REQUEST: (1, 2, 3),
    Step.VOTE_REPLY: (1, 2, 3),
    Step.HEARTBEAT: (1, 20, 60),
    Step.ENTRIES: (1, 9, 24),
    Step.APPEND_REPLY: (1, 20, 80),
    Step.SNAPSHOT: (1, 2, 3),
}
"""The occurrences of a step that get a fault: early, in the middle and late in the scenario."""

SETTLE_SECONDS: Final = 12.0
MAX_WAIT_STEPS: Final = 100
"""Steps for which a run waits for its faults to end: several times the longest fault."""

MAX_PRINTED_TRACE_LINES: Final = 60


@dataclass(frozen=True)
class Case:
    """One run: a seed and the faults armed in it."""

    seed: int
    faults: tuple[Fault, ...]
    size: int = 3
    """Keepers in the run."""

    @property
    def command(self) -> str:
        """Return the command that replays the run."""
        faults = " ".join(f"--fault {fault}" for fault in self.faults)
        options = f"--size {self.size} --seed {self.seed} {faults}"
        return f"python -m persimmonusher_lab.log_matrix {options}"


@dataclass(frozen=True)
class CaseResult:
    """How a run ended. `injected` counts the armed faults whose message occurred."""

    case: Case
    failure: str
    steps: int
    checks: int
    injected: int
    trace: tuple[str, ...]


def run_case(case: Case) -> CaseResult:
    """Run the scenario under a case's faults and check that the keepers recover."""
    schedule = LogSchedule(case.seed, case.faults, size=case.size)
    failure = ""
    try:
        _run_scenario(schedule)
        _check_recovery(schedule)
    except AssertionError as error:
        failure = str(error) or type(error).__name__
    return CaseResult(
        case,
        failure,
        schedule.steps,
        schedule.cluster.invariants.checks,
        len(schedule.injected),
        tuple(schedule.trace),
    )


def _run_scenario(schedule: LogSchedule) -> None:
    """Make changes, with resends, while a leader and then another keeper restart."""
    number = 0
    for second in range(16):
        for _ in range(3):
            number += 1
            schedule.change(number, f"operator{number % 2}")
            schedule.run(0.33)
        schedule.ask(f"operator{(number - 1) % 2}-{number - 1}")
        schedule.pull(second % 2)
        leader = schedule.cluster.find_leader()
        if second in (4, 9) and leader is not None:
            name = leader.replica.keeper.partition("#")[0]
            others = [other for other in schedule.cluster.keepers if other != name]
            schedule.stop(name if second == 4 else others[0], 2.0 + second / 5)
    for _ in range(MAX_WAIT_STEPS):
        if schedule.is_quiet():
            return
        number += 1
        schedule.change(number, "operator0")
        schedule.run(LONG_FAULT_SECONDS / 20)
        schedule.pull(number % 2)
    raise InvariantError("the faults have ended, but a keeper goes on failing")


def _check_recovery(schedule: LogSchedule) -> None:
    """Wait until all faults end; then a change must be decided and all keepers must agree."""
    schedule.disarm()
    schedule.run(SETTLE_SECONDS)
    for _ in range(MAX_WAIT_STEPS):
        if not schedule.is_quiet():
            schedule.run(SETTLE_SECONDS)
    cluster = schedule.cluster
    for change_id in cluster.changes:
        schedule.ask(change_id)
    schedule.run(SETTLE_SECONDS)
    last = cluster.make_change(1, "last", "last")
    schedule.ask("", last)
    schedule.run(SETTLE_SECONDS)
    if "last-1" not in cluster.invariants.verdicts:
        raise InvariantError("no change is decided after all faults have ended")
    running = list(cluster.list_running())
    if len({keeper.configuration.revision for keeper in running}) != 1:
        raise InvariantError("the keepers differ after all faults have ended")
    for keeper in running:
        cluster.invariants.check_end(keeper, cluster.changes)
        if len(keeper.replica.log.members.list_voters()) != len(cluster.keepers):
            raise InvariantError(f"{keeper.replica.keeper} does not count every keeper as voter")


def list_single() -> Iterator[Fault]:
    """List every fault at every occurrence of every step."""
    for step, kind in product(Step, FaultKind):
        for occurrence in OCCURRENCES[step]:
            yield Fault(step, occurrence, kind)


def list_pairs() -> list[tuple[Fault, Fault]]:
    """List every pair of faults at different messages, without pairs of wiped disks.

    The log promises nothing when two of three disks are lost.
    """
    singles = list(list_single())
    return [
        (first, second)
        for position, first in enumerate(singles)
        for second in singles[position + 1 :]
        if not first.kind is second.kind is FaultKind.WIPE
        and (first.step, first.occurrence) != (second.step, second.occurrence)
    ]


def parse_fault(text: str) -> Fault:
    """Read a fault as a trace prints it: `step:occurrence:kind`."""
    step, occurrence, kind = text.split(":")
    return Fault(Step(step), int(occurrence), FaultKind(kind))


def print_failure(result: CaseResult) -> None:
    """Print the end of a failed run's trace and the command that replays it."""
    print(f"FAILED {result.failure}")
    print(f"  replay: {result.case.command}")
    for line in result.trace[-MAX_PRINTED_TRACE_LINES:]:
        print(f"  {line}")


def run_matrix(
    pairs: Annotated[int, typer.Option(help="Pairs to run, chosen by the seed; 0 runs all")] = 500,
    seed: Annotated[int, typer.Option(help="Seed of the runs and of the choice of pairs")] = 1,
    fault: Annotated[list[str] | None, typer.Option(help="Replay just these faults")] = None,
    part: Annotated[str, typer.Option(help="Run one part of the cases, such as 1/3")] = "1/1",
    size: Annotated[int, typer.Option(help="Keepers in each run")] = 3,
    verbose: Annotated[bool, typer.Option(help="Print the trace of a replay")] = False,
) -> None:
    """Run the matrix and end with code 1 where an invariant broke."""
    if fault:
        cases = [Case(seed, tuple(parse_fault(text) for text in fault), size)]
    else:
        cases = _choose_cases(pairs, seed, part, size)
    started = time.monotonic()
    steps = checks = fully_injected = failed = 0
    for case in cases:
        result = run_case(case)
        steps += result.steps
        checks += result.checks
        fully_injected += result.injected == len(case.faults)
        if verbose and not result.failure:
            print("\n".join(result.trace))
        if result.failure:
            failed += 1
            print_failure(result)
    singles = sum(len(case.faults) == 1 for case in cases)
    print(
        f"{size} keepers, {singles} single faults, {len(cases) - singles} pairs, seed {seed}, "
        f"part {part}: {failed} failed; in {fully_injected} cases every fault was injected; "
        f"{steps} messages delivered, "
        f"{checks} states checked in {time.monotonic() - started:.0f} s"
    )
    sys.exit(1 if failed else 0)


def _choose_cases(pairs: int, seed: int, part: str, size: int) -> list[Case]:
    everything = list_pairs()
    chosen = everything if not pairs else Random(seed).sample(everything, pairs)
    cases = [Case(seed, (fault,), size) for fault in list_single()]
    cases.extend(Case(seed, pair, size) for pair in chosen)
    number, _, parts = part.partition("/")
    return cases[int(number) - 1 :: int(parts)]


if __name__ == "__main__":
    typer.run(run_matrix)
