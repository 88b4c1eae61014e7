"""What logs and metrics are told of each finished request."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from persimmonusher_node.answers import AnswerCode
from persimmonusher_node.headers import CallerOutcome
from persimmonusher_node.records import RequestRecord


@dataclass(frozen=True)
class FinishedRequest:
    """The end of a request. Times are seconds."""

    record: RequestRecord
    outcome: CallerOutcome
    code: AnswerCode | None
    whole: float
    """From the request's arrival to its answer."""
    server: float
    """The part of it spent waiting for backend servers."""


class RequestObserver(ABC):
    """Is told of every request that ends."""

    @abstractmethod
    def observe(self, finished: FinishedRequest) -> None:
        """Take note; must neither wait nor raise."""
