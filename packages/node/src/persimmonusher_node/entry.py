"""The entry: takes a caller's request from its head to its answer, independent of the listener."""

from typing import Final

from structlog import get_logger

from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import RequestId, Revision
from persimmonusher_model.organisations import Organisation, OrganisationBook, RequestQuota
from persimmonusher_node.answers import Answer, AnswerCode, make_error
from persimmonusher_node.calls import Call
from persimmonusher_node.forwarding import Forwarder
from persimmonusher_node.headers import CallerOutcome
from persimmonusher_node.keyed import KeyedForwarder
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.ports import Freshness, Quotas, QuotaVerdict
from persimmonusher_node.services import LiveService, RoutedService, ServiceBook

MAX_KEY_CHARACTERS: Final = 256
"""Longest Idempotency-Key. Bounded because several instances hold each key for the key window."""
MIN_QUOTA_RETRY_SECONDS: Final = 0.2
"""Shortest Retry-After for a caller whose organisation has used up its quota."""
QUOTA_UNKNOWN_RETRY_SECONDS: Final = 0.5
"""Retry-After for a caller whose quota could not be checked: about the time that an instance takes
to find another keeper."""

_log = get_logger(__name__)


class Entry:
    """Chooses how a request is forwarded: by its route, its idempotency and its key."""

    def __init__(
        self,
        services: ServiceBook,
        forwarder: Forwarder,
        keyed: KeyedForwarder,
        quotas: Quotas,
        clock: Clock,
        decimals: int = 0,
    ) -> None:
        self._services = services
        self._forwarder = forwarder
        self._keyed = keyed
        self._quotas = quotas
        self._log_budget = LineBudget(clock)
        self._decimals = decimals

    def is_ready(self) -> bool:
        """Return whether a configuration is in force here.

        Guards against a restarted instance that would answer every caller with `no route` until
        it has pulled the configuration from a keeper or a peer.
        """
        return self._services.is_configured()

    @property
    def is_stopping(self) -> bool:
        """Return whether a stop of this instance has begun."""
        return self._forwarder.stop.is_stopping

    def refuse_unread(self, request_id: RequestId) -> Answer:
        """Refuse a request whose rest a stop kept from arriving."""
        return self._forwarder.refuse_unread(request_id)

    def find(self, host: str, path: str) -> RoutedService | None:
        """Return the service that a request is for and the rule of its route, or None."""
        return self._services.match(host, path)

    def can_answer_no_route(self) -> bool:
        """Return whether this instance may answer `no route`.

        Guards against an instance that lost contact with the keepers: a route that it doesn't know
        may have been added since.
        """
        return self._services.is_current()

    def revision(self) -> Revision:
        """Return the configuration revision in force here."""
        return self._services.revision()

    def find_freshness(self) -> Freshness | None:
        """Return how stale the configuration may be; None where that isn't known."""
        return self._services.find_freshness()

    @property
    def organisations(self) -> OrganisationBook | None:
        """Return the organisations in force; None where requests carry no API keys."""
        return self._services.organisations

    def handle(self, call: Call, live: LiveService) -> Answer:
        """Answer a whole request within its organisation's quota; waits for the answer."""
        refusal = self._forwarder.refuse_late(call, live)
        if refusal is not None:
            return refusal
        organisation = call.organisation
        if organisation is None or organisation.quota is None:
            return self._forward(call, live)
        verdict = self._quotas.acquire(organisation)
        if verdict is not QuotaVerdict.GRANTED:
            return self._refuse_quota(verdict, organisation, organisation.quota, call)
        answer: Answer | None = None
        try:
            answer = self._forward(call, live)
            return answer
        finally:
            if answer is not None and answer.outcome is CallerOutcome.NOT_RUN:
                self._quotas.release(organisation)

    def _refuse_quota(
        self, verdict: QuotaVerdict, organisation: Organisation, quota: RequestQuota, call: Call
    ) -> Answer:
        if self._log_budget.try_acquire():
            _log.info(
                "request-over-quota",
                request_id=call.request_id,
                organisation=organisation.name,
                verdict=verdict.value,
                per_second=quota.per_second,
                burst=quota.burst,
                lines_left_out=self._log_budget.pop_left_out_count(),
            )
        if verdict is QuotaVerdict.EXCEEDED:
            code, message = AnswerCode.QUOTA_EXCEEDED, "the organisation's quota is used up"
            seconds = max(MIN_QUOTA_RETRY_SECONDS, 1.0 / quota.per_second)
        else:
            code, message = AnswerCode.QUOTA_UNKNOWN, "the organisation's quota can't be told"
            seconds = QUOTA_UNKNOWN_RETRY_SECONDS
        return make_error(
            code, message, call.request_id, retry_after=seconds, decimals=self._decimals
        )

    def _forward(self, call: Call, live: LiveService) -> Answer:
        if call.is_idempotent(live.profile):
            return self._forwarder.forward(call, live)
        if call.key is not None:
            if not 0 < len(call.key) <= MAX_KEY_CHARACTERS:
                message = f"Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} characters"
                return make_error(AnswerCode.BAD_REQUEST, message, call.request_id)
            return self._keyed.forward(call, live)
        if live.profile.key_required:
            message = "this service takes such a request only with an Idempotency-Key"
            return make_error(AnswerCode.KEY_REQUIRED, message, call.request_id)
        return self._forwarder.forward(call, live)
