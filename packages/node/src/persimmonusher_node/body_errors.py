"""Why a body could not be read whole."""

from enum import Enum


class BodyProblem(Enum):
    """Why a body could not be read whole."""

    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    BROKEN_OFF = "broken-off"


class NoBodyMemory(Exception):  # noqa: N818
    """Raised when the memory for bodies is used up."""


class BodyError(Exception):
    """A body that was not read whole; nothing of it may be used."""

    def __init__(self, problem: BodyProblem, message: str) -> None:
        super().__init__(message)
        self.problem = problem
