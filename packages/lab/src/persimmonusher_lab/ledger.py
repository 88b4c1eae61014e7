"""Ledgers of what the stand-in backend servers really ran, written by the servers themselves.

Each server appends one JSON line for each phase of a request. The file outlives a killed server,
so that doubled and lost entries are counted independently of what the fleet reports.
"""

import json
import os
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path
from types import TracebackType
from typing import Self


class Phase(Enum):
    """How far a request got at the server."""

    REFUSED = "refused"
    """It arrived and was certainly not run."""
    BEGUN = "begun"
    """Its work began: from here on it counts as run."""
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True)
class LedgerRecord:
    """One phase of one request; `at` is CLOCK_MONOTONIC, the same for all local processes."""

    at: float
    server: str
    phase: Phase
    method: str
    path: str
    request_id: str
    token: str
    """The load's identifier of the piece of work, the same in each resend."""


class Ledger:
    """Appends records to one server's file.

    >>> with Ledger(folder / "s1.jsonl") as ledger:  # doctest: +SKIP
    ...     ledger.append(record)
    """

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def append(self, record: LedgerRecord) -> None:
        """Write one record; the operating system has it when this returns."""
        document = {**asdict(record), "phase": record.phase.value}
        os.write(self._file, (json.dumps(document) + "\n").encode())

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        os.close(self._file)


def read_ledgers(folder: Path) -> list[LedgerRecord]:
    """Read the ledgers of all servers, in time order."""
    records = []
    for path in folder.glob("*.jsonl"):
        for line in path.read_text().splitlines():
            document = json.loads(line)
            records.append(LedgerRecord(**{**document, "phase": Phase(document["phase"])}))
    return sorted(records, key=lambda record: record.at)


def count_runs(records: Iterable[LedgerRecord]) -> Counter[str]:
    """Count how often the work of each token was begun."""
    return Counter(record.token for record in records if record.phase is Phase.BEGUN)
