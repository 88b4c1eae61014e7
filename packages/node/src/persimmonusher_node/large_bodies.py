"""Requests on routes with large bodies, from reading the first part to the end of the answer."""

from collections.abc import Iterable
from typing import Any, Final

from structlog import get_logger

from persimmonusher_model.clock import Clock
from persimmonusher_node.answer_spool import SpooledBody
from persimmonusher_node.answers import Answer
from persimmonusher_node.bodies import Body
from persimmonusher_node.body_counts import LargeBodyCounts
from persimmonusher_node.body_memory import KEPT_BYTES, TOTAL_BYTES, BodyMemory
from persimmonusher_node.body_source import BodySource
from persimmonusher_node.caller_reader import MAX_READ_AHEAD_BYTES
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.protocol import ENVIRON_KEY, HttpProtocol

UNREAD_SECONDS: Final = 5.0
"""How long a caller may read nothing while the memory for its answer is used up."""

_log = get_logger(__name__)


class NoBodyMemory(Exception):  # noqa: N818
    """Raised when the memory for large bodies is used up."""


class LargeBodies:
    """Reads large bodies and writes the answers to their requests within a bound of memory."""

    def __init__(
        self,
        clock: Clock,
        body_seconds: float,
        total_bytes: int = TOTAL_BYTES,
        unread_seconds: float = UNREAD_SECONDS,
    ) -> None:
        self._clock = clock
        self._body_seconds = body_seconds
        self._unread_seconds = unread_seconds
        self._lines = LineBudget(clock)
        self.memory = BodyMemory(total_bytes)
        self.counts = LargeBodyCounts()

    def read(self, environ: dict[str, Any], limit: int) -> Body:
        """Return the body with its first part read.

        Raises NoBodyMemory at once if no memory is left, and BodyError if the first part does not
        arrive. Otherwise `end` must follow.
        """
        share = self.memory.reserve()
        if share is None:
            self._report_refused()
            raise NoBodyMemory("the memory for large bodies is used up")
        # What the caller sends stays in the kernel until it can be sent on.
        environ[ENVIRON_KEY].reader.max_ahead_bytes = 0
        body = Body(share=share)
        try:
            source = BodySource(environ["wsgi.input"], limit, self._body_seconds)
            body.kept = source.read_first(KEPT_BYTES)
        except BaseException:
            self.end(body, environ[ENVIRON_KEY])
            raise
        if not source.is_ended:
            body.rest = source
            self.counts.sent_on += 1
        return body

    def write(
        self, answer: Answer, body: Body, is_bodyless: bool, protocol: HttpProtocol, request_id: str
    ) -> Iterable[bytes]:
        """Return the answer's body for WSGI; it ends the request's use of memory when closed."""
        assert body.share is not None

        def report_unread() -> None:
            self.counts.answers_unread += 1
            if self._lines.try_acquire():
                _log.warning(
                    "answer-unread",
                    request_id=request_id,
                    seconds=self._unread_seconds,
                    held_bytes=self.memory.held_bytes,
                    lines_left_out=self._lines.pop_left_out_count(),
                )

        return SpooledBody(
            b"" if is_bodyless and answer.stream is None else answer.body,
            answer.stream,
            protocol,
            body.share,
            self._clock,
            self._unread_seconds,
            report_unread,
            lambda: self.end(body, protocol),
        )

    def _report_refused(self) -> None:
        self.counts.refused += 1
        if self._lines.try_acquire():
            _log.warning(
                "body-memory-full",
                held_bytes=self.memory.held_bytes,
                refused=self.counts.refused,
                lines_left_out=self._lines.pop_left_out_count(),
            )

    def end(self, body: Body, protocol: HttpProtocol) -> None:
        """Free the memory of a request."""
        body.drop_kept()
        if body.share is not None:
            body.share.release()
        protocol.reader.max_ahead_bytes = MAX_READ_AHEAD_BYTES
