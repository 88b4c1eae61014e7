"""The forwarding core: carries out the decisions for each request until it has an answer.

This is the only place that decides whether a request may be sent again:

- a request that certainly did not run (no connection, a `not run` answer) may go to another server;
- an idempotent request may be retried within the retry budget;
- a request of whose body a part is no longer held is not sent again in either case;
- any other request is not sent again: its caller gets the server's answer, or `unknown`, at once.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

from structlog import get_logger

from persimmonusher_decisions.notices import Notice
from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.work import (
    AFTER_ATTEMPTS,
    Decision,
    Dispatch,
    Outcome,
    OutcomeKind,
    Refusal,
    RefusalReason,
    Request,
    Wait,
)
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import RequestId
from persimmonusher_node.answers import CODES_BY_REASON, Answer, AnswerCode, make_error
from persimmonusher_node.attempts import NOT_RUN_KINDS, AttemptResult, Attempts, EndedAttempt
from persimmonusher_node.calls import Call
from persimmonusher_node.dialect import OWN_DIALECT, Dialect
from persimmonusher_node.exchange import classify_answer, translate_answer
from persimmonusher_node.fingerprints import compute_fingerprint
from persimmonusher_node.headers import CallerOutcome
from persimmonusher_node.observer import FinishedRequest, RequestObserver
from persimmonusher_node.records import RecordRing, RequestRecord
from persimmonusher_node.runs import Run
from persimmonusher_node.services import LiveService, ServiceBook
from persimmonusher_node.stop_progress import STOP_STEP, StopEffect, StopProgress
from persimmonusher_node.streams import AnswerStream
from persimmonusher_node.upstream import AttemptError, Upstream

STOPPING_RETRY_SECONDS: Final = 0.05
"""Retry-After of a request that a stop refuses: other instances can serve it at once."""

_log = get_logger(__name__)


class Forwarder:
    """Forwards each request in the green thread of its caller's connection."""

    def __init__(
        self,
        services: ServiceBook,
        upstream: Upstream,
        records: RecordRing,
        observer: RequestObserver,
        clock: Clock,
        note_draining: Callable[[BackendServer], None],
        dialect: Dialect = OWN_DIALECT,
    ) -> None:
        self.stop = StopProgress(clock)
        self._dialect = dialect
        self._services = services
        self._records = records
        self._observer = observer
        self._clock = clock
        self._attempts = Attempts(upstream, clock, self.deliver_decision, note_draining, dialect)
        self._runs: dict[RequestId, Run] = {}

    def set_publisher(self, publish: Callable[[Sequence[Notice]], None]) -> None:
        """Set the function that publishes failures seen here to the other instances."""
        self._attempts.publish = publish

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._runs)

    def list_runs(self) -> list[Run]:
        """List the requests in flight."""
        return list(self._runs.values())

    def begin_stop(self, stop_seconds: float | None, signalled_at: float) -> None:
        """Begin a stop; see `StopProgress.begin`."""
        self.stop.begin(stop_seconds, signalled_at)
        for run in self._runs.values():
            run.note_stop(StopEffect.IN_FLIGHT, self._clock.monotonic())

    def cut_off(self) -> None:
        """End the requests in flight, as the stop has no time left for them."""
        for run in self.list_runs():
            run.cut_off(StopEffect.CUT_OFF, self._clock.monotonic())

    def refuse_late(self, call: Call, live: LiveService) -> Answer | None:
        """Return the refusal of a request that the end of a stop may cut off, else None.

        Only the time that a request may take shows that the stop can wait for its answer; a usual
        time doesn't. While the listener is open, the balancer still sends callers here, and their
        requests are accepted.
        """
        left = self.stop.seconds_left
        if left is None or not self.stop.is_closed:
            return None
        needed = call.find_allowed_ms(live.profile) / 1000.0
        if needed <= left:
            return None
        run = self._start(call, live)
        run.note_stop(StopEffect.REFUSED, self._clock.monotonic(), f", {needed:.2f} s needed")
        answer = self._refuse_for_stop(run)
        self._end(run, answer)
        return answer

    def refuse_unread(self, request_id: RequestId) -> Answer:
        """Refuse a request whose rest a stop kept from arriving, and log it like any other."""
        self.stop.count(StopEffect.REFUSED)
        answer = self._make_stopping(request_id)
        _log.info(
            "request",
            request_id=request_id,
            status=answer.status,
            result=f"{answer.outcome.value} ({AnswerCode.STOPPING.value})",
            decision=STOP_STEP,
            reason=f"unread, {self.stop.describe()}",
        )
        return answer

    def forward(self, call: Call, live: LiveService) -> Answer:
        """Return the answer to a request; blocks until there is one."""
        run = self._start(call, live)
        if self.stop.is_stopping:
            run.note_stop(StopEffect.ARRIVED, self._clock.monotonic())
        answer: Answer | None = None
        try:
            answer = self._carry_out(run, live.traffic.offer(run.request, self._clock.monotonic()))
            return answer
        finally:
            if answer is None or answer.stream is None:
                self._end(run, answer)

    def deliver_decision(self, live: LiveService, decision: Decision) -> None:
        """Pass a later decision to the queued request that waits for it."""
        run = self._runs.get(decision.request.request_id)
        if run is not None and run.release(decision):
            return
        if isinstance(decision, Dispatch):
            # The caller left, or the deadline passed, at the same moment: free the server's slot.
            self._attempts.settle(live, decision, Outcome(OutcomeKind.CANCELLED, 0.0))

    def _start(self, call: Call, live: LiveService) -> Run:
        request_id = call.request_id
        while request_id in self._runs:
            request_id = RequestId(f"{request_id}+")
        allowed = call.find_allowed_ms(live.profile)
        idempotent = call.is_idempotent(live.profile)
        request = Request(
            request_id,
            call.caller,
            call.request_class,
            idempotent,
            call.arrived,
            call.arrived + allowed / 1000.0,
            compute_fingerprint(call),
            call.rule.attempts if call.rule else None,
            call.find_priority(),
            call.method,
            call.body.length or len(call.body.kept),
        )
        record = RequestRecord(
            request_id,
            live.name,
            call.caller,
            call.request_class,
            call.method,
            call.path,
            idempotent,
            call.arrived,
            self._services.revision(),
            self._services.find_freshness(),
        )
        run = Run(call, live, request, record, self.stop)
        self._runs[request_id] = run
        self._records.add(record)
        live.in_flight += 1
        return run

    def _end(self, run: Run, answer: Answer | None) -> None:
        del self._runs[run.request.request_id]
        run.end()
        run.live.in_flight -= 1
        code = AnswerCode.INTERNAL if answer is None else answer.code
        outcome = CallerOutcome.UNKNOWN if answer is None else answer.outcome
        run.record.status = 500 if answer is None else answer.status
        run.record.result = outcome.value if code is None else f"{outcome.value} ({code.value})"
        total_seconds = self._clock.monotonic() - run.call.arrived
        finished = FinishedRequest(run.record, outcome, code, total_seconds, run.server_seconds)
        self._observer.observe(finished)

    def _carry_out(self, run: Run, decision: Decision) -> Answer:
        """Carry out decisions until a decision or an attempt ends the request."""
        while True:
            run.record.add_decision(decision, self._clock.monotonic())
            if isinstance(decision, Refusal):
                return self._refuse(run, decision)
            if isinstance(decision, Wait):
                released = run.wait()
                if released is None:
                    return self._abandon(run)
                decision = released
                continue
            answer, next_decision = self._attempt(run, decision)
            if next_decision is None:
                return answer
            if isinstance(next_decision, Refusal) and answer.outcome is not CallerOutcome.NOT_RUN:
                run.record.add_decision(next_decision, self._clock.monotonic())
                return answer
            decision = next_decision

    def _attempt(self, run: Run, dispatch: Dispatch) -> tuple[Answer, Decision | None]:
        """Make one attempt; return its answer and the next decision, if any."""
        ended = self._attempts.carry_out(run, dispatch)
        answer = self._make_answer(run, ended.result)
        if ended.is_streaming:
            if answer.stream is not None:
                return self._stream(run, ended, answer), None
            self._attempts.discard_stream(run, ended)
        next_decision = self._decide_again(run, ended.dispatch, ended.outcome)
        if run.is_cut_off and answer.outcome is CallerOutcome.NOT_RUN:
            return self._refuse_for_stop(run), None
        return answer, next_decision

    def _stream(self, run: Run, ended: EndedAttempt, answer: Answer) -> Answer:
        """Keep the request in flight until the rest of its long answer has been passed on."""
        assert answer.stream is not None
        # What is kept until the end must not hold the first part of the body.
        ended = ended.without_body()
        summary = replace(answer, body=b"", stream=None)

        def end(broken: OutcomeKind | None) -> None:
            self._attempts.finish_stream(run, ended, broken)
            self._end(run, summary)

        return replace(answer, stream=AnswerStream(answer.stream, end))

    def _make_answer(self, run: Run, result: AttemptResult) -> Answer:
        if isinstance(result, AttemptError):
            known_outcome = None if run.may_have_run else CallerOutcome.NOT_RUN
            if result.kind in NOT_RUN_KINDS and run.may_have_run:
                known_outcome = CallerOutcome.UNKNOWN
            code, message = result.code, str(result)
            if run.is_cut_off and code is AnswerCode.ANSWER_TIMEOUT:
                code = AnswerCode.STOP_ENDED
                message = "this instance stopped before the answer came; the request may have run"
            return make_error(code, message, run.call.request_id, outcome=known_outcome)
        if classify_answer(result, self._dialect) in NOT_RUN_KINDS:
            known_outcome = CallerOutcome.UNKNOWN if run.may_have_run else CallerOutcome.NOT_RUN
            message = "the backend server refused the request without running it"
            return make_error(
                AnswerCode.OVERLOAD, message, run.call.request_id, outcome=known_outcome
            )
        return translate_answer(result, run.call, run.request.idempotent, self._dialect)

    def _decide_again(self, run: Run, dispatch: Dispatch, outcome: Outcome) -> Decision | None:
        kind = outcome.kind
        if kind in (OutcomeKind.SUCCESS, OutcomeKind.CANCELLED):
            return None
        if kind not in NOT_RUN_KINDS and not run.request.idempotent:
            return None
        if not run.call.body.can_send_again:
            return None
        if not run.may_begin(self._clock.monotonic()):
            return None
        # A hedged request counts as two attempts, whichever server answered last.
        numbered = replace(dispatch, attempt=max(dispatch.attempt, run.hedge_attempt))
        return run.live.traffic.retry(numbered, outcome, self._clock.monotonic())

    def _refuse(self, run: Run, refusal: Refusal) -> Answer:
        code = CODES_BY_REASON[refusal.reason]
        known_outcome = CallerOutcome.UNKNOWN if run.may_have_run else None
        if refusal.reason in AFTER_ATTEMPTS and not run.may_have_run:
            code = AnswerCode.OVERLOAD
        message = REFUSAL_MESSAGES[refusal.reason]
        return make_error(
            code,
            message,
            run.call.request_id,
            retry_after=refusal.retry_after,
            outcome=known_outcome,
            decimals=self._dialect.retry_after_decimals,
        )

    def _refuse_for_stop(self, run: Run) -> Answer:
        """Answer a request that a stop has no time for and that is at no server."""
        outcome = CallerOutcome.UNKNOWN if run.may_have_run else None
        return self._make_stopping(run.call.request_id, outcome)

    def _make_stopping(self, request_id: RequestId, outcome: CallerOutcome | None = None) -> Answer:
        return make_error(
            AnswerCode.STOPPING,
            "this instance stops before the request could be answered",
            request_id,
            retry_after=STOPPING_RETRY_SECONDS,
            outcome=outcome,
            decimals=self._dialect.retry_after_decimals,
        )

    def _abandon(self, run: Run) -> Answer:
        """Answer a request that was stopped while it waited."""
        known_outcome = CallerOutcome.UNKNOWN if run.may_have_run else CallerOutcome.NOT_RUN
        if run.is_cut_off:
            return self._refuse_for_stop(run)
        code = AnswerCode.DEADLINE if run.stopped is OutcomeKind.TIMEOUT else AnswerCode.CALLER_LEFT
        message = "the request was stopped while it waited for a backend server"
        return make_error(code, message, run.call.request_id, outcome=known_outcome)


REFUSAL_MESSAGES: Final = {
    RefusalReason.QUEUE_FULL: "every backend server is full, and so is the queue",
    RefusalReason.QUEUE_TIMEOUT: "no backend server had room within the queue's longest wait",
    RefusalReason.DEADLINE: "the time left is too short for the service to answer",
    RefusalReason.NO_SERVER: "no backend server of the service takes work",
    RefusalReason.SERVERS_CLOSED: "every backend server asked for rest or limits what it takes",
    RefusalReason.QUARANTINED: "the same request has broken several backend servers",
    RefusalReason.OVERLOAD: "the service is overloaded",
    RefusalReason.LESS_URGENT: "the service is overloaded, and other requests go first",
    RefusalReason.RETRIES_EXHAUSTED: "every attempt on a backend server failed",
    RefusalReason.RETRY_BUDGET: "the attempt failed, and the retry budget is spent",
}
