"""Traces of real processes: answers to callers and work of servers, read from a demo's folder."""

import json
from collections import Counter
from collections.abc import Collection
from pathlib import Path
from typing import Final

from persimmonusher_lab.ledger import LedgerRecord, read_ledgers
from persimmonusher_lab.load import Try, read_tries
from persimmonusher_lab.trace import Trace, TraceRecorder

MARKS_FILE: Final = "marks.json"
MAX_TOKENS_PER_TRACE: Final = 60
"""Enough pieces of work to hold each kind of outcome, few enough to read."""


def write_marks(folder: Path, instance: str, stopped_at: float, exit_code: int | None) -> None:
    """Save which instance was stopped, when, and its exit code, for `record_run`."""
    document = {"instance": instance, "stopped_at": stopped_at, "exit_code": exit_code}
    (folder / MARKS_FILE).write_text(json.dumps(document))


def record_run(folder: Path) -> Trace:
    """Record two parts of a demo's run: resends, and requests in flight at the stopped instance."""
    marks = json.loads((folder / MARKS_FILE).read_text())
    tries = read_tries(sorted(folder.glob("*load-*.jsonl")) + [folder / "resend.jsonl"])
    tokens = choose_tokens(tries, marks["instance"], marks["stopped_at"])
    records = [record for record in read_ledgers(folder / "ledgers") if record.token in tokens]
    chosen = [item for item in tries if item.token in tokens]
    recorder = TraceRecorder(
        "whole answers, graceful shutdown, at most once: counted on real processes",
        "A part of a run of the demo: one server gray, one draining, a keeper killed, an entry "
        "resent with its key, and an instance stopped by SIGTERM under load.",
    )
    recorder.add("judge", "run")
    _record_events(recorder, chosen, records)
    recorder.call("judge", "judge_answers", states="every answer whole and to its own request")
    recorder.call("judge", "judge_runs", states="no entry doubled or lost, no false not-run")
    recorder.call(
        "judge",
        "judge_stop",
        marks["instance"],
        marks["stopped_at"],
        marks["exit_code"],
        states="the stop cut nothing off",
    )
    return recorder.trace


def _record_events(
    recorder: TraceRecorder, tries: Collection[Try], records: Collection[LedgerRecord]
) -> None:
    events: list[tuple[float, str, Try | LedgerRecord]] = []
    events.extend((item.ended, "take_try", item) for item in tries)
    events.extend((record.at, "take_record", record) for record in records)
    for _, call, event in sorted(events, key=lambda event: (event[0], event[1])):
        recorder.call("judge", call, event)


def choose_tokens(tries: Collection[Try], instance: str, stopped_at: float) -> set[str]:
    """Choose work in flight at the instance when it was stopped, then work that was resent.

    At most `MAX_TOKENS_PER_TRACE` tokens are returned.
    """
    counts = Counter(item.token for item in tries)
    resent = [item.token for item in tries if counts[item.token] > 1]
    stopping = [
        item.token
        for item in tries
        if item.instance == instance and item.started <= stopped_at <= item.ended
    ]
    return set(list(dict.fromkeys([*stopping, *resent]))[:MAX_TOKENS_PER_TRACE])
