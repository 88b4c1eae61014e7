"""Traces: recorded calls of state machines with their results, replayed as regression tests.

A trace is a file of JSON lines. The first line has the format's version, the promise under
test, the trace's story, and the arguments that construct each machine. Each further line is one
call with its arguments and result; where the result matters for the promise, `states` says in words
what it must be. Replay constructs the machines, repeats the calls, and reports each stated result
that differs. The other results are for the reader. `strict` compares them too, but they may change
with timing or placement while the promise still holds.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from persimmonusher_lab.trace_codec import decode, encode, encode_items
from persimmonusher_lab.trace_machines import MACHINES, make_machine
from persimmonusher_model.errors import ErrorCode, UsherError

FORMAT: Final = "persimmonusher-trace"
VERSION: Final = 1


@dataclass(frozen=True)
class MachinePlan:
    """How to construct one machine: its kind and arguments, in JSON form."""

    kind: str
    arguments: dict[str, Any]


@dataclass(frozen=True)
class Step:
    """One call, in JSON form."""

    machine: str
    call: str
    arguments: list[Any]
    result: Any
    states: str = ""


@dataclass
class Trace:
    """A recorded run."""

    promise: str
    story: str
    machines: dict[str, MachinePlan] = field(default_factory=dict)
    steps: list[Step] = field(default_factory=list)


class TraceRecorder:
    """Calls machines and records every call with its result.

    >>> recorder = TraceRecorder("at most once", "two entries claim one key")
    >>> recorder.add("judge", "run")
    >>> recorder.call("judge", "count_tries")
    0
    """

    def __init__(self, promise: str, story: str) -> None:
        self.trace = Trace(promise, story)
        self._machines: dict[str, Any] = {}

    def add(self, name: str, kind: str, **arguments: Any) -> None:
        """Construct a machine and record how; its arguments are typed values."""
        self._machines[name] = make_machine(kind, arguments)
        self.trace.machines[name] = MachinePlan(kind, encode_items(arguments))

    def call(self, machine: str, call: str, *arguments: Any, states: str = "") -> Any:
        """Make and record one call; return its typed result."""
        encoded = [encode(argument) for argument in arguments]
        result = _make_call(
            self.trace.machines[machine].kind, self._machines[machine], call, arguments
        )
        self.trace.steps.append(Step(machine, call, encoded, encode(result), states))
        return result


def _make_call(kind: str, machine: Any, call: str, arguments: Iterable[Any]) -> Any:
    if call not in MACHINES[kind].calls:
        raise UsherError(ErrorCode.BAD_VALUE, f"{kind!r} has no call {call!r} for traces")
    return getattr(machine, call)(*arguments)


@dataclass(frozen=True)
class Difference:
    """A call whose result differs from the recorded one."""

    line: int
    step: Step
    found: Any

    def __str__(self) -> str:
        states = f" ({self.step.states})" if self.step.states else ""
        return (
            f"line {self.line}: {self.step.machine}.{self.step.call}{states}\n"
            f"  stated {json.dumps(self.step.result)}\n  found  {json.dumps(self.found)}"
        )


def replay(trace: Trace, strict: bool = False) -> list[Difference]:
    """Repeat every call and list the stated results that differ, or all of them if `strict`.

    A call that raises UsherError is compared in both cases, as its error code and message.
    """
    machines = {
        name: make_machine(plan.kind, {key: decode(item) for key, item in plan.arguments.items()})
        for name, plan in trace.machines.items()
    }
    differences = []
    for line, step in enumerate(trace.steps, 2):
        arguments = [decode(argument) for argument in step.arguments]
        kind = trace.machines[step.machine].kind
        try:
            found = encode(_make_call(kind, machines[step.machine], step.call, arguments))
        except UsherError as error:
            found = {"error": error.code.value, "message": error.message}
        is_refused = isinstance(found, dict) and "error" in found
        if found != step.result and (strict or step.states or is_refused):
            differences.append(Difference(line, step, found))
    return differences


def write_trace(trace: Trace, path: Path) -> None:
    """Write a trace as JSON lines."""
    machines = {
        name: {"kind": plan.kind, "arguments": plan.arguments}
        for name, plan in trace.machines.items()
    }
    head = {
        "format": FORMAT,
        "version": VERSION,
        "promise": trace.promise,
        "story": trace.story,
        "machines": machines,
    }
    lines = [json.dumps(head), *(json.dumps(_to_document(step)) for step in trace.steps)]
    path.write_text("\n".join(lines) + "\n")


def _to_document(step: Step) -> dict[str, Any]:
    document = {
        "machine": step.machine,
        "call": step.call,
        "arguments": step.arguments,
        "result": step.result,
    }
    return {**document, "states": step.states} if step.states else document


def read_trace(path: Path) -> Trace:
    """Read a trace; raise UsherError for another format or version."""
    lines = path.read_text().splitlines()
    head = json.loads(lines[0]) if lines else {}
    if head.get("format") != FORMAT or head.get("version") != VERSION:
        message = f"{path}: is not a {FORMAT} file of version {VERSION}"
        raise UsherError(ErrorCode.BAD_VALUE, message)
    plans = {name: MachinePlan(**plan) for name, plan in head["machines"].items()}
    steps = [Step(**json.loads(line)) for line in lines[1:]]
    return Trace(head["promise"], head["story"], plans, steps)
