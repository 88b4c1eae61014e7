"""Attempts of a request on backend servers: one, or two when the first is hedged.

Each attempt is finished exactly once: when it wins, fails or is cancelled, or, where its answer is
streamed, when the stream ends.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
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
        OutcomeKind.CUT_OFF,
    }
)
"""Outcomes that prove that the backend server did not run the request."""

UNANSWERED_KINDS: Final = frozenset({OutcomeKind.TIMEOUT, OutcomeKind.BROKEN})
"""Outcomes that a cut of the way to the server may cause."""

_log = get_logger(__name__)


@dataclass(frozen=True)
class EndedAttempt:
    """An attempt with its result; it is not finished while its answer is still being streamed."""

    dispatch: Dispatch
    result: AttemptResult
    outcome: Outcome
    is_relayed: bool
    """Whether it was sent through another instance."""

    @property
    def is_streaming(self) -> bool:
        """Return whether the rest of the answer is still to be read."""
        return isinstance(self.result, UpstreamAnswer) and self.result.stream is not None

    def without_body(self) -> "EndedAttempt":
        """Return the attempt without the part of its answer's body that was read."""
        if isinstance(self.result, AttemptError):
            return self
        return replace(self, result=replace(self.result, body=b""))


class Attempts:
    """Carries out dispatches and reports their outcomes to the service's traffic decisions."""

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
        self.publish: Callable[[Sequence[Notice]], None] = discard_notices
        """Publishes notices of failures, recoveries and limits to the other instances."""
        self._note_draining = note_draining

    def carry_out(self, run: Run, dispatch: Dispatch) -> EndedAttempt:
        """Make the attempt, hedged where the profile says so; blocks until it has a result."""
        started = self._clock.monotonic()
        delay = None
        if run.request.idempotent and dispatch.attempt == 1:
            delay = run.live.traffic.hedge_delay(dispatch, started)
        try:
            if delay is None:
                return self._make(run, dispatch, self._prepare(run, dispatch))
            return self._race(run, dispatch, delay)
        finally:
            run.server_seconds += self._clock.monotonic() - started

    def finish(self, run: Run, dispatch: Dispatch, outcome: Outcome) -> None:
        """Record the outcome of a request's attempt and report it to the service's traffic."""
        run.record.add_outcome(dispatch, outcome, self._clock.monotonic())
        if outcome.kind is OutcomeKind.DRAINING:
            self._note_draining(dispatch.server)
        self.settle(run.live, dispatch, outcome)

    def finish_stream(self, run: Run, ended: EndedAttempt, broken: OutcomeKind | None) -> None:
        """Finish an attempt whose long answer has ended, or broke off for the reason given."""
        run.remove_attempt(ended.dispatch)
        if broken is None:
            self.finish(run, ended.dispatch, ended.outcome)
            return
        outcome = Outcome(broken, ended.outcome.latency)
        if broken in UNANSWERED_KINDS:
            self._finish_unanswered(run, ended.dispatch, ended.is_relayed, outcome)
        else:
            self.finish(run, ended.dispatch, outcome)

    def discard_stream(self, run: Run, ended: EndedAttempt) -> None:
        """Finish an attempt whose long answer is not passed on, as it is a refusal."""
        assert isinstance(ended.result, UpstreamAnswer)
        close_stream(ended.result)
        self.finish_stream(run, ended, None)

    def settle(self, live: LiveService, dispatch: Dispatch, outcome: Outcome) -> None:
        """Report an outcome to the service's traffic and deliver the decisions that it releases."""
        for released in live.traffic.finish(dispatch, outcome, self._clock.monotonic()):
            self._deliver(live, released)
        self._publish(live)

    def _publish(self, live: LiveService) -> None:
        """Log and publish the notices about servers that this instance has collected."""
        notices = live.traffic.pop_notices()
        if not notices:
            return
        for notice in notices:
            if notice.kind is NoticeKind.LIMITED or live.profile.suspect_ms:
                log_notice(notice, live, self._lines, self._clock.monotonic())
        self.publish(notices)

    def _apply_advice(self, live: LiveService, dispatch: Dispatch, answer: UpstreamAnswer) -> None:
        """Pass a server's advice (rest, rate limit, leaving) to its service's traffic.

        This happens as soon as the headers are read, so also for answers that are streamed.
        """
        advice = read_advice(answer, self._dialect)
        if advice.rest_seconds and self._lines.try_acquire():
            _log.info(
                "server-rest",
                server=dispatch.server.server_id,
                service=live.name,
                boot=dispatch.server.boot_id,
                seconds=advice.rest_seconds,
                request_id=dispatch.request.request_id,
                lines_left_out=self._lines.pop_left_out_count(),
            )
        if live.traffic.apply_advice(dispatch, advice, self._clock.monotonic()):
            self._note_draining(dispatch.server)
        self._publish(live)

    def _prepare(self, run: Run, dispatch: Dispatch) -> Attempt:
        """Return an attempt that has not begun, and that the end of its request cancels."""
        request = make_upstream_request(run.call, run.request, dispatch.server, self._dialect)
        attempt = self._upstream.start_attempt(
            dispatch.server,
            request,
            run.request.deadline,
            lambda: run.may_begin(self._clock.monotonic()),
            lambda: run.live.traffic.may_send(dispatch, self._clock.monotonic()),
        )
        run.add_attempt(dispatch, attempt)
        return attempt

    def _make(self, run: Run, dispatch: Dispatch, attempt: Attempt) -> EndedAttempt:
        started = self._clock.monotonic()
        outcome = Outcome(OutcomeKind.CANCELLED, 0.0)
        ended: EndedAttempt | None = None
        try:
            result = run_attempt(attempt)
            latency = self._clock.monotonic() - started - attempt.caller_seconds
            outcome = make_outcome(result, max(0.0, latency), self._dialect)
            if outcome.kind is OutcomeKind.BROKEN:
                outcome = self._judge_way(dispatch, attempt.is_relayed, outcome)
            if isinstance(result, UpstreamAnswer):
                self._apply_advice(run.live, dispatch, result)
            if outcome.kind not in NOT_RUN_KINDS and not is_unsent(result):
                run.may_have_run = True
            ended = EndedAttempt(dispatch, result, outcome, attempt.is_relayed)
            return ended
        finally:
            if ended is None or not ended.is_streaming:
                run.remove_attempt(dispatch)
                if outcome.kind is OutcomeKind.TIMEOUT:
                    self._finish_unanswered(run, dispatch, attempt.is_relayed, outcome)
                else:
                    self.finish(run, dispatch, outcome)

    def _finish_unanswered(
        self, run: Run, dispatch: Dispatch, is_relayed: bool, outcome: Outcome
    ) -> None:
        """Finish an attempt without an answer; its caller doesn't wait for the check of its way."""
        run.record.add_outcome(dispatch, outcome, self._clock.monotonic())

        def settle() -> None:
            judged = outcome
            try:
                judged = self._judge_way(dispatch, is_relayed, outcome)
            finally:
                self.settle(run.live, dispatch, judged)

        spawn_n(settle)

    def _judge_way(self, dispatch: Dispatch, is_relayed: bool, outcome: Outcome) -> Outcome:
        """Mark an outcome without an answer that doesn't tell anything about its server."""
        is_lost = self._upstream.is_way_lost(dispatch.server, is_relayed, dispatch.started)
        return replace(outcome, is_way_lost=is_lost)

    def _race(self, run: Run, first: Dispatch, delay: float) -> EndedAttempt:
        """Make the attempt, and a second one where the first takes longer than `delay` seconds.

        The first successful answer wins; when one copy fails, the other is still waited for. Only
        idempotent requests are hedged, so both copies may run.
        """
        results: Queue = Queue()
        self._spawn(run, first, results)
        running = 1
        try:
            ended: EndedAttempt | None = results.get(timeout=delay)
        except Empty:
            ended = None
            now = self._clock.monotonic()
            second = run.live.traffic.hedge(first, now) if run.may_begin(now) else None
            if second is not None:
                run.record.add_decision(second, self._clock.monotonic())
                run.hedge_attempt = second.attempt
                self._spawn(run, second, results)
                running = 2
        while ended is None or (running > 1 and ended.outcome.kind is not OutcomeKind.SUCCESS):
            if ended is not None:
                running -= 1
            ended = results.get()
        self._cancel_losers(run, ended)
        return ended

    def _spawn(self, run: Run, dispatch: Dispatch, results: Queue) -> None:
        """Make an attempt in a green thread of its own.

        It is registered here: the request may end before that thread begins.
        """
        attempt = self._prepare(run, dispatch)

        def make() -> None:
            try:
                ended = self._make(run, dispatch, attempt)
            except Exception:
                # Without a result in the queue `_race` would wait for ever.
                _log.exception("attempt failed", request_id=run.request.request_id)
                error = AttemptError(OutcomeKind.BROKEN, AnswerCode.INTERNAL, "a fault inside")
                ended = EndedAttempt(dispatch, error, Outcome(OutcomeKind.BROKEN, 0.0), False)
            if not run.has_winner:
                results.put(ended)
            elif isinstance(ended.result, UpstreamAnswer) and ended.result.stream is not None:
                # The other copy won at the same moment: nothing will read this answer.
                close_stream(ended.result)
                run.remove_attempt(dispatch)
                self.finish(run, dispatch, Outcome(OutcomeKind.CANCELLED, ended.outcome.latency))

        spawn_n(make)

    def _cancel_losers(self, run: Run, winner: EndedAttempt) -> None:
        run.has_winner = True
        run.cancel_attempts(OutcomeKind.CANCELLED, except_for=winner.dispatch)


def log_notice(
    notice: Notice, live: LiveService, lines: LineBudget, now: float, **fields: str
) -> None:
    """Log a notice about a server, unless the line budget of this second is used up."""
    if not lines.try_acquire():
        return
    if notice.kind is NoticeKind.LIMITED:
        event = "server-limit"
        details: dict[str, object] = {"requests_a_second": notice.rate_limit}
    else:
        excluded_seconds = live.traffic.find_suspicion_seconds(notice.server_id, now)
        event = choose_event(notice, excluded_seconds)
        details = {"seconds": round(excluded_seconds, 1), "outcome": notice.kind.value}
    _log.info(
        event,
        server=notice.server_id,
        service=notice.service,
        boot=notice.boot_id,
        **details,
        **fields,
        request_id=notice.request_id,
        lines_left_out=lines.pop_left_out_count(),
    )


def choose_event(notice: Notice, excluded_seconds: float) -> str:
    """Return the log event for a failure or recovery.

    `excluded_seconds` is 0 if the server still gets first attempts.
    """
    if notice.kind is NoticeKind.RECOVERED:
        return "server-recovered"
    return "server-passed-by" if excluded_seconds else "server-doubted"


def discard_notices(notices: Sequence[Notice]) -> None:
    """Publish nothing; for instances whose evidence is pooled by an assessor instead."""


def run_attempt(attempt: Attempt) -> AttemptResult:
    """Run the attempt and return its answer, or its error instead of raising it."""
    try:
        return attempt.run()
    except AttemptError as error:
        return error


def is_unsent(result: AttemptResult) -> bool:
    """Return whether the attempt ended before the first byte of the request was sent."""
    return isinstance(result, AttemptError) and result.is_unsent


def make_outcome(result: AttemptResult, latency: float, dialect: Dialect = OWN_DIALECT) -> Outcome:
    """Return the outcome that is reported to the traffic decisions."""
    if isinstance(result, AttemptError):
        return Outcome(result.kind, latency)
    size = len(result.body) if result.stream is None else None
    kind = classify_answer(result, dialect)
    return Outcome(kind, latency, read_load(result, dialect), size)


def close_stream(answer: UpstreamAnswer) -> None:
    """Close the connection of an answer whose rest will not be read."""
    close = getattr(answer.stream, "close", None)
    if close is not None:
        close()
