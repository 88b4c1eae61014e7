"""What was decided for each of the latest requests, where and why, for `explain`."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from persimmonusher_decisions.advice import Asked
from persimmonusher_decisions.work import Decision, Dispatch, Outcome, Refusal
from persimmonusher_model.identifiers import CallerId, RequestId, ServerId, ServiceName
from persimmonusher_node.ports import Freshness

KEPT_RECORDS: Final = 4096
"""About 4 MB: some seconds of full load, and hours of a quiet service."""


@dataclass(frozen=True)
class DecisionStep:
    """One step of a request, `after` seconds from its arrival."""

    after: float
    step: str
    reason: str
    server: ServerId | None = None
    summary: str = ""
    """Of a dispatch: what is counted of it, one of few words."""


@dataclass
class RequestRecord:
    """The steps of one request at this instance, in their order."""

    request_id: RequestId
    service: ServiceName
    caller: CallerId
    request_class: str
    method: str
    path: str
    idempotent: bool
    arrived: float
    revision: int
    freshness: Freshness | None = None
    """How old the configuration was that the request was decided by."""
    status: int = 0
    """The status answered to the caller, 0 while the request is in flight."""
    result: str = "in-flight"
    """The outcome told to the caller, with the code of an error."""
    steps: list[DecisionStep] = field(default_factory=list)

    def add_decision(self, decision: Decision, now: float) -> None:
        """Note a decision."""
        after = now - self.arrived
        if isinstance(decision, Dispatch):
            summary = describe_asked(decision)
            reason = f"attempt {decision.attempt}"
            if decision.asked is not Asked.NOTHING:
                reason += f", {decision.asked.value}"
            step = DecisionStep(after, "dispatch", reason, decision.server.server_id, summary)
        elif isinstance(decision, Refusal):
            step = DecisionStep(after, "refuse", decision.reason.value)
        else:
            step = DecisionStep(after, "wait", "every server is full")
        self.steps.append(step)

    def add_outcome(self, dispatch: Dispatch, outcome: Outcome, now: float) -> None:
        """Note the end of an attempt."""
        server = dispatch.server.server_id
        step = DecisionStep(now - self.arrived, "outcome", outcome.kind.value, server)
        self.steps.append(step)

    def add_note(self, step: str, reason: str, now: float) -> None:
        """Note a step that no decision module took."""
        self.steps.append(DecisionStep(now - self.arrived, step, reason))


def describe_asked(dispatch: Dispatch) -> str:
    """Return how an attempt on a server that asked for less is counted, empty for another one."""
    if dispatch.asked is Asked.NOTHING:
        return ""
    return f"{dispatch.asked.value}-{'first' if dispatch.attempt == 1 else 'further'}"


class RecordRing:
    """The latest records of this instance, the oldest dropped first."""

    def __init__(self, capacity: int = KEPT_RECORDS) -> None:
        self._capacity = capacity
        self._records: OrderedDict[RequestId, RequestRecord] = OrderedDict()

    def add(self, record: RequestRecord) -> None:
        """Keep a record; a later request with the same id replaces an earlier one."""
        self._records.pop(record.request_id, None)
        self._records[record.request_id] = record
        if len(self._records) > self._capacity:
            self._records.popitem(last=False)

    def explain(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a request that this instance handled lately, or None."""
        return self._records.get(request_id)
