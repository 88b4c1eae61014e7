"""An open-loop load of lookups and entries that records the outcome of every try.

Requests start on a fixed schedule whatever the answers, so that a slow fleet can't hide by slowing
its load. Latency counts from the scheduled start. A caller resends its work, preferably through
another instance, until a try gives a final outcome, within a bounded number of tries. An entry
keeps its key.
"""

import json
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path
from random import Random
from types import TracebackType
from typing import Final, Self

import eventlet
import urllib3

from persimmonusher_lab import wire
from persimmonusher_lab.balancer import Balancer


class Told(Enum):
    """The outcome of one try as its caller sees it."""

    RAN = "ran"
    """A whole answer to this very request, with a status below 400."""
    FAILED = "failed"
    """An answer with status 400 or above that is marked neither not run nor unknown."""
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NO_ANSWER = "no-answer"
    """The request broke or timed out without an answer: whether the work ran is unknown."""
    WRONG = "wrong"
    """An answer that is cut off or belongs to another request: a broken promise."""


@dataclass(frozen=True)
class LoadOptions:
    """The settings of one bounded load."""

    entries: tuple[str, ...]
    """The entries' caller addresses, as the platform's balancer knows them."""
    host: str
    """The Host header, which selects the service by its route."""
    seconds: float
    rate: float
    """Requests started per second."""
    entry_percent: int = 30
    caller: str = "lab"
    resends: int = 6
    deadline_ms: int = 5_000
    answer_bytes: int = 200
    work_ms: float | None = None
    """Service time to ask for; if None, the server chooses its own."""
    seed: int = 1


@dataclass(frozen=True)
class Try:
    """One HTTP request of a caller and its outcome."""

    started: float
    ended: float
    token: str
    number: int
    is_entry: bool
    instance: str
    request_id: str
    told: Told
    status: int
    server: str
    detail: str


MAX_CONCURRENT_REQUESTS: Final = 2_000
REPLAYED_DETAIL: Final = "replayed"
"""The `detail` of a try whose answer was replayed from an earlier run with the same key."""
MAX_RESEND_WAIT_SECONDS: Final = 2.0


class Caller:
    """Sends the tries of one load and appends each to a file."""

    def __init__(self, options: LoadOptions, report: Path) -> None:
        self._options = options
        self._random = Random(options.seed)
        self._balancer = Balancer(options.entries, self._random, time.monotonic)
        self._report = report.open("a", buffering=1)
        self._pool = urllib3.PoolManager(
            num_pools=64,
            maxsize=64,
            retries=False,
            timeout=urllib3.Timeout(connect=1.0, read=options.deadline_ms / 1000 + 1.0),
        )

    def run(self) -> None:
        """Start every piece of work on schedule and wait until all have ended."""
        workers = eventlet.GreenPool(MAX_CONCURRENT_REQUESTS)
        options = self._options
        first = time.monotonic()
        for number in range(int(options.seconds * options.rate)):
            due = first + number / options.rate
            eventlet.sleep(max(0.0, due - time.monotonic()))
            is_entry = self._random.random() * 100 < options.entry_percent
            token = f"{options.host}-{options.seed}-{number}"
            workers.spawn_n(self.follow, token, is_entry, due)
        workers.waitall()

    def follow(self, token: str, is_entry: bool, due: float) -> Try:
        """Send one piece of work until its outcome is final or its resends are used up.

        Return the last try.
        """
        tried: set[str] = set()
        started = due
        for number in range(1, self._options.resends + 2):
            result = self.send(token, is_entry, self._balancer.choose(tried), number, started)
            tried.add(result.instance)
            if result.told in (Told.RAN, Told.FAILED, Told.WRONG):
                break
            eventlet.sleep(min(MAX_RESEND_WAIT_SECONDS, 0.2 * number))
            started = time.monotonic()
        return result

    def send(self, token: str, is_entry: bool, instance: str, number: int, started: float) -> Try:
        """Send one try to the given instance."""
        options = self._options
        request_id = f"{token}-{number}"
        headers = {
            "Host": options.host,
            wire.REQUEST_ID: request_id,
            wire.CALLER: options.caller,
            wire.DEADLINE_MS: str(options.deadline_ms),
        }
        if is_entry:
            headers[wire.IDEMPOTENCY_KEY] = token
        method, path = ("POST", "/entries") if is_entry else ("GET", "/lookup")
        url = f"http://{instance}{path}?token={token}&bytes={options.answer_bytes}"
        if options.work_ms is not None:
            url += f"&work_ms={options.work_ms}"
        told, status, server, detail = self._exchange(method, url, headers, token)
        if told is Told.NO_ANSWER:
            self._balancer.note_failure(instance)
        record = Try(
            started=started,
            ended=time.monotonic(),
            token=token,
            number=number,
            is_entry=is_entry,
            instance=instance,
            request_id=request_id,
            told=told,
            status=status,
            server=server,
            detail=detail,
        )
        self._report.write(json.dumps({**asdict(record), "told": told.value}) + "\n")
        return record

    def _exchange(
        self, method: str, url: str, headers: dict[str, str], token: str
    ) -> tuple[Told, int, str, str]:
        body = token.encode() if method == "POST" else None
        try:
            answer = self._pool.request(method, url, headers=headers, body=body)
        except (urllib3.exceptions.ProtocolError, urllib3.exceptions.HTTPError) as error:
            return Told.NO_ANSWER, 0, "", type(error).__name__
        told, server, detail = judge_answer(
            answer.status, answer.headers.get(wire.OUTCOME), answer.data, token
        )
        if wire.REPLAYED in answer.headers:
            detail = REPLAYED_DETAIL
        return told, answer.status, server, detail

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._report.close()
        self._pool.clear()


def judge_answer(
    status: int, outcome: str | None, body: bytes, token: str
) -> tuple[Told, str, str]:
    """Return the outcome that an answer reports, the server that it names, and a detail."""
    if outcome == "not-run":
        return Told.NOT_RUN, "", _find_code(body)
    if outcome == "unknown":
        return Told.UNKNOWN, "", _find_code(body)
    if status >= 400:
        return Told.FAILED, "", _find_code(body)
    try:
        document = json.loads(body)
    except ValueError:
        return Told.WRONG, "", "cut off"
    if document.get("token") != token or document.get("whole") is not True:
        return Told.WRONG, str(document.get("server")), "another request's answer"
    return Told.RAN, str(document["server"]), ""


def _find_code(body: bytes) -> str:
    try:
        document = json.loads(body)
    except ValueError:
        return ""
    return str(document.get("code", "")) if isinstance(document, dict) else ""


def read_tries(paths: Sequence[Path]) -> list[Try]:
    """Read the reports of finished or running loads."""
    tries = []
    for path in paths:
        for line in path.read_text().splitlines():
            document = json.loads(line)
            tries.append(Try(**{**document, "told": Told(document["told"])}))
    return sorted(tries, key=lambda found: found.started)
