"""Attempts of a request on backend servers: one, or two when the first is hedged.

Each attempt is finished exactly once, whether it won, failed, lost or streams on.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

from eventlet import spawn_n
from eventlet.queue import Empty, Queue
from structlog import get_logger

from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.work import Decision, Dispatch, Outcome, OutcomeKind
from persimmonusher_model.clock import Clock
from persimmonusher_node.answers import AnswerCode
from persimmonusher_node.dialect import OWN_DIALECT, Dialect
from persimmonusher_node.exchange import (
    classify_answer,
    make_upstream_request,
    read_advice,
    read_load,
)
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.runs import Run
from persimmonusher_node.services import LiveService
from persimmonusher_node.upstream import Attempt, AttemptError, Upstream, UpstreamAnswer

AttemptResult: TypeAlias = UpstreamAnswer | AttemptError

NOT_RUN_KINDS: Final = frozenset(
    {
        OutcomeKind.REFUSED,
        OutcomeKind.UNREACHED,
        OutcomeKind.DRAINING,
        OutcomeKind.WITHHELD,
    }
)
"""Ends of an attempt that prove that the backend server did not run the request."""

_log = get_logger(__name__)


@dataclass(frozen=True)
class Ended:
    """An attempt that brought a result; one whose answer streams on is not finished yet."""

    dispatch: Dispatch
    result: AttemptResult
    outcome: Outcome

    @property
    def is_streaming(self) -> bool:
        """Tell whether the rest of the answer is still to come."""
        return isinstance(self.result, UpstreamAnswer) and self.result.stream is not None


class Attempts:
    """Carries out dispatches and reports their outcomes to the service's decisions."""

    def __init__(
        self,
        upstream: Upstream,
        clock: Clock,
        deliver: Callable[[LiveService, Decision], None],
        note_draining: Callable[[BackendServer], None],
        dialect: Dialect = OWN_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._upstream = upstream
        self._clock = clock
        self._lines = LineBudget(clock)
        self._deliver = deliver
        self.publish: Callable[[Sequence[Notice]], None] = drop_notices
        """Tells the other instances of failures."""
        self._note_draining = note_draining

    def carry_out(self, run: Run, dispatch: Dispatch) -> Ended:
        """Make the attempt, hedged where the profile says so; waits for its result."""
        started = self._clock.monotonic()
        delay = None
        if run.request.idempotent and dispatch.attempt == 1:
            delay = run.live.traffic.hedge_delay(run.request, started)
        try:
            if delay is None:
                return self._make(run, dispatch)
            return self._race(run, dispatch, delay)
        finally:
            run.server_seconds += self._clock.monotonic() - started

    def finish(self, run: Run, dispatch: Dispatch, outcome: Outcome) -> None:
        """Report the end of an attempt of a request."""
        run.record.add_outcome(dispatch, outcome, self._clock.monotonic())
        if outcome.kind is OutcomeKind.DRAINING:
            self._note_draining(dispatch.server)
        self.settle(run.live, dispatch, outcome)

    def settle(self, live: LiveService, dispatch: Dispatch, outcome: Outcome) -> None:
        """Report the end of an attempt and hand on what it releases."""
        for released in live.traffic.finish(dispatch, outcome, self._clock.monotonic()):
            self._deliver(live, released)
        self._publish(live)

    def _publish(self, live: LiveService) -> None:
        """Tell the other instances what was learned of servers here."""
        notices = live.traffic.take_notices()
        if not notices:
            return
        for notice in notices:
            if notice.kind is NoticeKind.LIMITED or live.profile.suspect_ms:
                log_notice(notice, live, self._lines, self._clock.monotonic())
        self.publish(notices)

    def _take_advice(self, live: LiveService, dispatch: Dispatch, answer: UpstreamAnswer) -> None:
        """Hand on what a server asks for, also where its answer streams on."""
        advice = read_advice(answer, self._dialect)
        if advice.rest_seconds and self._lines.take():
            _log.info(
                "server-rest",
                server=dispatch.server.server_id,
                service=live.name,
                boot=dispatch.server.boot_id,
                seconds=advice.rest_seconds,
                request_id=dispatch.request.request_id,
                lines_left_out=self._lines.take_left_out(),
            )
        if live.traffic.take_advice(dispatch, advice, self._clock.monotonic()):
            self._note_draining(dispatch.server)
        self._publish(live)

    def _make(self, run: Run, dispatch: Dispatch) -> Ended:
        started = self._clock.monotonic()
        request = make_upstream_request(
            run.call, run.request, dispatch.server, started, self._dialect
        )
        attempt = self._upstream.start_attempt(
            dispatch.server,
            request,
            run.request.deadline,
            lambda: run.may_begin(self._clock.monotonic()),
            lambda: run.live.traffic.may_send(dispatch, self._clock.monotonic()),
        )
        run.add_attempt(dispatch, attempt)
        outcome = Outcome(OutcomeKind.CANCELLED, 0.0)
        ended: Ended | None = None
        try:
            result = run_attempt(attempt)
            outcome = judge(result, self._clock.monotonic() - started, self._dialect)
            if isinstance(result, UpstreamAnswer):
                self._take_advice(run.live, dispatch, result)
            if outcome.kind not in NOT_RUN_KINDS and not is_unsent(result):
                run.may_have_run = True
            ended = Ended(dispatch, result, outcome)
            return ended
        finally:
            if ended is None or not ended.is_streaming:
                run.remove_attempt(dispatch)
                self.finish(run, dispatch, outcome)

    def _race(self, run: Run, first: Dispatch, delay: float) -> Ended:
        """Make the attempt, and a second one where the first takes longer than the delay.

        The first whole answer that tells of no failure wins; a failed copy is waited out while
        the other still runs. Only idempotent work comes here, so both copies may run.
        """
        results: Queue = Queue()
        self._spawn(run, first, results)
        running = 1
        try:
            ended: Ended | None = results.get(timeout=delay)
        except Empty:
            ended = None
            now = self._clock.monotonic()
            second = run.live.traffic.hedge(first, now) if run.may_begin(now) else None
            if second is not None:
                run.record.add_decision(second, self._clock.monotonic())
                run.sent = second.attempt
                self._spawn(run, second, results)
                running = 2
        while ended is None or (running > 1 and ended.outcome.kind is not OutcomeKind.SUCCESS):
            if ended is not None:
                running -= 1
            ended = results.get()
        self._cancel_losers(run, ended)
        return ended

    def _spawn(self, run: Run, dispatch: Dispatch, results: Queue) -> None:
        def make() -> None:
            try:
                ended = self._make(run, dispatch)
            except Exception:
                # Whoever waits for the race must hear of a fault here, or it waits for ever.
                _log.exception("attempt failed", request_id=run.request.request_id)
                error = AttemptError(OutcomeKind.BROKEN, AnswerCode.INTERNAL, "a fault inside")
                ended = Ended(dispatch, error, Outcome(OutcomeKind.BROKEN, 0.0))
            if not run.settled:
                results.put(ended)
            elif isinstance(ended.result, UpstreamAnswer) and ended.result.stream is not None:
                # It answered in the moment in which the other copy won: nobody reads this one.
                close_stream(ended.result)
                run.remove_attempt(dispatch)
                self.finish(run, dispatch, Outcome(OutcomeKind.CANCELLED, ended.outcome.latency))

        spawn_n(make)

    def _cancel_losers(self, run: Run, winner: Ended) -> None:
        run.settled = True
        run.cancel_attempts(OutcomeKind.CANCELLED, but=winner.dispatch)


def log_notice(
    notice: Notice, live: LiveService, lines: LineBudget, now: float, **fields: str
) -> None:
    """Log what was learned of a server, where there is a line left for it."""
    if not lines.take():
        return
    if notice.kind is NoticeKind.LIMITED:
        event = "server-limit"
        learned: dict[str, object] = {"requests_a_second": notice.rate_limit}
    else:
        seconds = live.traffic.find_seconds_passed_by(notice.server_id, now)
        event = name_event(notice, seconds)
        learned = {"seconds": round(seconds, 1), "outcome": notice.kind.value}
    _log.info(
        event,
        server=notice.server_id,
        service=notice.service,
        boot=notice.boot_id,
        **learned,
        **fields,
        request_id=notice.request_id,
        lines_left_out=lines.take_left_out(),
    )


def name_event(notice: Notice, seconds_passed_by: float) -> str:
    """Return the name under which a failure or recovery is logged."""
    if notice.kind is NoticeKind.RECOVERED:
        return "server-recovered"
    return "server-passed-by" if seconds_passed_by else "server-doubted"


def drop_notices(notices: Sequence[Notice]) -> None:
    """Tell nobody, where an assessor pools the evidence instead."""


def run_attempt(attempt: Attempt) -> AttemptResult:
    """Return what the attempt brought, its failure included."""
    try:
        return attempt.run()
    except AttemptError as error:
        return error


def is_unsent(result: AttemptResult) -> bool:
    """Tell whether the attempt ended before its first byte."""
    return isinstance(result, AttemptError) and result.is_unsent


def judge(result: AttemptResult, latency: float, dialect: Dialect = OWN_DIALECT) -> Outcome:
    """Return the outcome that the decisions are told of."""
    if isinstance(result, AttemptError):
        return Outcome(result.kind, latency)
    size = len(result.body) if result.stream is None else None
    kind = classify_answer(result, dialect)
    return Outcome(kind, latency, read_load(result, dialect), size)


def close_stream(answer: UpstreamAnswer) -> None:
    """End the connection of an answer that nobody reads on."""
    close = getattr(answer.stream, "close", None)
    if close is not None:
        close()
