"""Errors with stable codes, and findings that name their place in an input."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class ErrorCode(Enum):
    """Stable machine-readable codes; docs/reference/errors.md describes them."""

    BAD_JSON = "bad-json"
    UNREADABLE_FILE = "unreadable-file"
    UNKNOWN_KEY = "unknown-key"
    MISSING_KEY = "missing-key"
    BAD_VALUE = "bad-value"
    IMPOSSIBLE_COMBINATION = "impossible-combination"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    IN_USE = "in-use"
    NO_QUORUM = "no-quorum"
    NOT_LEADER = "not-leader"
    UNAUTHENTICATED = "unauthenticated"
    DAMAGED_STORAGE = "damaged-storage"
    STORAGE_FULL = "storage-full"
    UNAVAILABLE = "unavailable"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Finding:
    """One problem with an input, with its path in the document, and file and line if known."""

    code: ErrorCode
    path: str
    message: str
    file: str | None = None
    line: int | None = None

    def __str__(self) -> str:
        place = self.file or ""
        if self.line is not None:
            place = f"{place}:{self.line}"
        prefix = f"{place}: " if place else ""
        return f"{prefix}{self.path or '(top level)'}: {self.message} [{self.code.value}]"


class UsherError(Exception):
    """An error with a code, a message that names the input at fault, and all findings.

    >>> str(UsherError(ErrorCode.NOT_FOUND, "no profile named 'lookups'"))
    "no profile named 'lookups' [not-found]"
    """

    def __init__(self, code: ErrorCode, message: str, findings: Iterable[Finding] = ()) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.findings = tuple(findings)

    def __str__(self) -> str:
        head = f"{self.message} [{self.code.value}]"
        return "\n".join([head, *(f"  {finding}" for finding in self.findings)])
