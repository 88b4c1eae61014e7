"""The forwarding core: carries out the decisions for each request until it has its answer.

This is the only place that decides whether a request may be sent again:

- work that certainly did not run (no connection, a `not run` answer) may go to another server;
- idempotent work may go again within the retry budget;
- anything else is answered as `unknown`, at once.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

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
from persimmonusher_node.attempts import NOT_RUN_KINDS, AttemptResult, Attempts, Ended
from persimmonusher_node.calls import Call
from persimmonusher_node.dialect import OWN_DIALECT, Dialect
from persimmonusher_node.exchange import classify_answer, translate_answer
from persimmonusher_node.fingerprints import compute_fingerprint
from persimmonusher_node.headers import CallerOutcome
from persimmonusher_node.observer import FinishedRequest, RequestObserver
from persimmonusher_node.records import RecordRing, RequestRecord
from persimmonusher_node.runs import Run
from persimmonusher_node.services import LiveService, ServiceBook
from persimmonusher_node.streams import AnswerStream
from persimmonusher_node.upstream import AttemptError, Upstream


class Forwarder:
    """Forwards requests; each in the caller's own green thread."""

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
        self._dialect = dialect
        self._services = services
        self._records = records
        self._observer = observer
        self._clock = clock
        self._attempts = Attempts(upstream, clock, self.deliver, note_draining, dialect)
        self._runs: dict[RequestId, Run] = {}

    def publish_with(self, publish: Callable[[Sequence[Notice]], None]) -> None:
        """Have the failures that are seen here told to other instances."""
        self._attempts.publish = publish

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._runs)

    def list_runs(self) -> list[Run]:
        """List the requests in flight."""
        return list(self._runs.values())

    def forward(self, call: Call, live: LiveService) -> Answer:
        """Return the answer to a request; waits for it."""
        run = self._start(call, live)
        answer: Answer | None = None
        try:
            answer = self._follow(run, live.traffic.offer(run.request, self._clock.monotonic()))
            return answer
        finally:
            if answer is None or answer.stream is None:
                self._end(run, answer)

    def deliver(self, live: LiveService, decision: Decision) -> None:
        """Hand a decision that came later to the request that waits for it."""
        run = self._runs.get(decision.request.request_id)
        if run is not None and run.release(decision):
            return
        if isinstance(decision, Dispatch):
            # Its caller left, or its deadline passed, at the same moment: give the place back.
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
        run = Run(call, live, request, record)
        self._runs[request_id] = run
        self._records.add(record)
        live.in_flight += 1
        return run

    def _end(self, run: Run, answer: Answer | None) -> None:
        del self._runs[run.request.request_id]
        run.live.in_flight -= 1
        code = AnswerCode.INTERNAL if answer is None else answer.code
        outcome = CallerOutcome.UNKNOWN if answer is None else answer.outcome
        run.record.status = 500 if answer is None else answer.status
        run.record.result = outcome.value if code is None else f"{outcome.value} ({code.value})"
        whole = self._clock.monotonic() - run.call.arrived
        finished = FinishedRequest(run.record, outcome, code, whole, run.server_seconds)
        self._observer.observe(finished)

    def _follow(self, run: Run, decision: Decision) -> Answer:
        """Carry out decisions until one of them, or an attempt, ends the request."""
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
            answer, following = self._attempt(run, decision)
            if following is None:
                return answer
            if isinstance(following, Refusal) and answer.outcome is not CallerOutcome.NOT_RUN:
                run.record.add_decision(following, self._clock.monotonic())
                return answer
            decision = following

    def _attempt(self, run: Run, dispatch: Dispatch) -> tuple[Answer, Decision | None]:
        """Make one attempt; return its answer, and the decision to go on with, if any."""
        ended = self._attempts.carry_out(run, dispatch)
        answer = self._make_answer(run, ended.result)
        if ended.is_streaming:
            return self._stream(run, ended, answer), None
        return answer, self._decide_again(run, ended.dispatch, ended.outcome)

    def _stream(self, run: Run, ended: Ended, answer: Answer) -> Answer:
        """Leave the request in flight until the rest of its long answer has passed."""
        assert answer.stream is not None

        def end(broken: OutcomeKind | None) -> None:
            outcome = ended.outcome
            if broken is not None:
                outcome = Outcome(broken, outcome.latency)
            run.remove_attempt(ended.dispatch)
            self._attempts.finish(run, ended.dispatch, outcome)
            self._end(run, answer)

        return replace(answer, stream=AnswerStream(answer.stream, end))

    def _make_answer(self, run: Run, result: AttemptResult) -> Answer:
        if isinstance(result, AttemptError):
            known = None if run.may_have_run else CallerOutcome.NOT_RUN
            if result.kind in NOT_RUN_KINDS and run.may_have_run:
                known = CallerOutcome.UNKNOWN
            return make_error(result.code, str(result), run.call.request_id, outcome=known)
        if classify_answer(result, self._dialect) in NOT_RUN_KINDS:
            known = CallerOutcome.UNKNOWN if run.may_have_run else CallerOutcome.NOT_RUN
            message = "the backend server refused the request without running it"
            return make_error(AnswerCode.OVERLOAD, message, run.call.request_id, outcome=known)
        return translate_answer(result, run.call, self._dialect)

    def _decide_again(self, run: Run, dispatch: Dispatch, outcome: Outcome) -> Decision | None:
        kind = outcome.kind
        if kind in (OutcomeKind.SUCCESS, OutcomeKind.CANCELLED):
            return None
        if kind not in NOT_RUN_KINDS and not run.request.idempotent:
            return None
        if not run.may_begin(self._clock.monotonic()):
            return None
        # A hedged request was sent to two servers, whichever of them answered last.
        counted = replace(dispatch, attempt=max(dispatch.attempt, run.sent))
        return run.live.traffic.retry(counted, outcome, self._clock.monotonic())

    def _refuse(self, run: Run, refusal: Refusal) -> Answer:
        code = CODES_BY_REASON[refusal.reason]
        known = CallerOutcome.UNKNOWN if run.may_have_run else None
        if refusal.reason in AFTER_ATTEMPTS and not run.may_have_run:
            code = AnswerCode.OVERLOAD
        message = REFUSAL_MESSAGES[refusal.reason]
        return make_error(
            code,
            message,
            run.call.request_id,
            retry_after=refusal.retry_after,
            outcome=known,
            decimals=self._dialect.retry_after_decimals,
        )

    def _abandon(self, run: Run) -> Answer:
        """Answer a request that was stopped while it waited."""
        known = CallerOutcome.UNKNOWN if run.may_have_run else CallerOutcome.NOT_RUN
        code = AnswerCode.DEADLINE if run.stopped is OutcomeKind.TIMEOUT else AnswerCode.CALLER_LEFT
        message = "the request was stopped while it waited for a backend server"
        return make_error(code, message, run.call.request_id, outcome=known)


REFUSAL_MESSAGES: Final = {
    RefusalReason.QUEUE_FULL: "every backend server is full, and so is the queue",
    RefusalReason.QUEUE_TIMEOUT: "no backend server had room within the queue's longest wait",
    RefusalReason.DEADLINE: "the time left is too short for the service to answer",
    RefusalReason.NO_SERVER: "no backend server of the service takes work",
    RefusalReason.SERVERS_CLOSED: "every backend server asked for rest or limits what it takes",
    RefusalReason.QUARANTINED: "the same request has broken several backend servers",
    RefusalReason.OVERLOAD: "the service is overloaded",
    RefusalReason.RETRIES_EXHAUSTED: "every attempt on a backend server failed",
    RefusalReason.RETRY_BUDGET: "the attempt failed, and the retry budget is spent",
}
