"""Records of the decisions for the latest requests, with servers and reasons, for `explain`."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from persimmonusher_decisions.advice import Asked
from persimmonusher_decisions.work import Decision, Dispatch, Outcome, Refusal
from persimmonusher_model.identifiers import CallerId, RequestId, ServerId, ServiceName
from persimmonusher_node.ports import Freshness

MAX_RECORDS: Final = 4096
"""About 4 MB: some seconds of full load, and hours of a quiet service."""


@dataclass(frozen=True)
class DecisionStep:
    """One step of a request, `after` seconds from its arrival."""

    after: float
    step: str
    reason: str
    server: ServerId | None = None
    summary: str = ""
    """For a dispatch or a stop: the label under which metrics count it, one of a few values."""


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
    """How old the configuration was on which the decisions were based."""
    status: int = 0
    """The status answered to the caller, 0 while the request is in flight."""
    result: str = "in-flight"
    """The outcome answered to the caller, with the code of an error."""
    steps: list[DecisionStep] = field(default_factory=list)

    def add_decision(self, decision: Decision, now: float) -> None:
        """Append a step for a decision."""
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
        """Append a step for the outcome of an attempt."""
        server = dispatch.server.server_id
        step = DecisionStep(now - self.arrived, "outcome", outcome.kind.value, server)
        self.steps.append(step)

    def add_note(self, step: str, reason: str, now: float, summary: str = "") -> None:
        """Append a step that is not a decision, such as the caller's departure.

        Metrics count it under `summary`, where one is given.
        """
        self.steps.append(DecisionStep(now - self.arrived, step, reason, summary=summary))


def describe_asked(dispatch: Dispatch) -> str:
    """Return the label of an attempt on a server that asked for less work, else an empty text."""
    if dispatch.asked is Asked.NOTHING:
        return ""
    return f"{dispatch.asked.value}-{'first' if dispatch.attempt == 1 else 'further'}"


class RecordRing:
    """The latest records of this instance, the oldest dropped first."""

    def __init__(self, capacity: int = MAX_RECORDS) -> None:
        self._capacity = capacity
        self._records: OrderedDict[RequestId, RequestRecord] = OrderedDict()

    def add(self, record: RequestRecord) -> None:
        """Add a record; it replaces an earlier one of the same request id."""
        self._records.pop(record.request_id, None)
        self._records[record.request_id] = record
        if len(self._records) > self._capacity:
            self._records.popitem(last=False)

    def explain(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a recent request at this instance, or None."""
        return self._records.get(request_id)
