"""The observer that logs and metrics implement, and its view of a finished request."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from persimmonusher_node.answers import AnswerCode
from persimmonusher_node.headers import CallerOutcome
from persimmonusher_node.records import RequestRecord


@dataclass(frozen=True)
class FinishedRequest:
    """A finished request. Times are in seconds."""

    record: RequestRecord
    outcome: CallerOutcome
    code: AnswerCode | None
    whole: float
    """From the request's arrival to its answer."""
    server: float
    """The part of `whole` spent waiting for backend servers."""


class RequestObserver(ABC):
    """Receives every request that ends."""

    @abstractmethod
    def observe(self, finished: FinishedRequest) -> None:
        """Handle the end of a request; must neither block nor raise."""
