"""Bodies of requests, from reading their first part to the end of the answer."""

from collections.abc import Iterable
from typing import Any, Final

from structlog import get_logger

from persimmonusher_model.clock import Clock
from persimmonusher_node.answer_spool import SpooledBody
from persimmonusher_node.answers import Answer
from persimmonusher_node.bodies import Body
from persimmonusher_node.body_counts import LargeBodyCounts
from persimmonusher_node.body_errors import NoBodyMemory
from persimmonusher_node.body_memory import KEPT_BYTES, TOTAL_BYTES, BodyMemory, MemoryShare
from persimmonusher_node.body_source import BodySource
from persimmonusher_node.body_waits import BodyWaits
from persimmonusher_node.caller_reader import MAX_READ_AHEAD_BYTES
from persimmonusher_node.held_memory import DEFAULT_HELD_BYTES, HeldMemory
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.protocol import ENVIRON_KEY, HttpProtocol

UNREAD_SECONDS: Final = 5.0
"""How long a caller may read nothing while the memory for its answer is used up."""

_log = get_logger(__name__)


class LargeBodies:
    """Reads bodies, and writes the answers to requests with large ones, within bounds of memory.

    A body is large if it has more than KEPT_BYTES, or if its route expects large ones: `memory` is
    theirs. All others are held whole, in `held`, which has their answers too.
    """

    def __init__(
        self,
        clock: Clock,
        body_seconds: float,
        total_bytes: int = TOTAL_BYTES,
        unread_seconds: float = UNREAD_SECONDS,
        held_bytes: int = DEFAULT_HELD_BYTES,
    ) -> None:
        self._clock = clock
        self._body_seconds = body_seconds
        self._unread_seconds = unread_seconds
        self._lines = LineBudget(clock)
        self.waits = BodyWaits(clock)
        self.memory = BodyMemory(total_bytes)
        self.held = HeldMemory(self.waits, held_bytes)
        self.counts = LargeBodyCounts()

    def read(self, environ: dict[str, Any], limit: int) -> Body:
        """Return the body of a request on a route for large bodies, with its first part read.

        Raises NoBodyMemory at once if no memory is left, and BodyError if the first part does not
        arrive. Otherwise `end` must follow.
        """
        share = self._reserve()
        body = Body(share=share)
        try:
            # What the caller sends stays in the kernel until it can be sent on.
            environ[ENVIRON_KEY].reader.max_ahead_bytes = 0
            source = self._make_source(environ, limit)
            body.kept = source.read_first(KEPT_BYTES)
        except BaseException:
            self.end(body, environ[ENVIRON_KEY])
            raise
        self._add_rest(body, source)
        return body

    def read_whole(self, environ: dict[str, Any], limit: int) -> Body:
        """Return a body that is read whole; raises and needs `end` as `read` does."""
        return self._read_held(environ, limit, limit + 1)

    def read_small(self, environ: dict[str, Any], limit: int) -> Body:
        """Return a whole body of up to KEPT_BYTES; of a larger one, the first part is read.

        Raises and needs `end` as `read` does.
        """
        body = self._read_held(environ, limit, KEPT_BYTES)
        if body.rest is None:
            return body
        protocol = environ[ENVIRON_KEY]
        try:
            body.share = self._reserve()
        except NoBodyMemory:
            self.end(body, protocol)
            raise
        assert body.held is not None
        body.held.release()
        body.held = None
        protocol.reader.max_ahead_bytes = 0
        self.counts.sent_on += 1
        return body

    def _read_held(self, environ: dict[str, Any], limit: int, size: int) -> Body:
        body = Body(held=self.held.open_share())
        assert body.held is not None
        try:
            source = self._make_source(environ, limit)
            body.kept = source.read_first(size, body.held.take)
        except BaseException as error:
            body.held.release()
            if isinstance(error, NoBodyMemory):
                self._report_refused()
            raise
        if not source.is_ended:
            body.rest = source
        return body

    def _make_source(self, environ: dict[str, Any], limit: int) -> BodySource:
        protocol: HttpProtocol = environ[ENVIRON_KEY]
        return BodySource(
            environ["wsgi.input"],
            limit,
            self._body_seconds,
            self.waits,
            protocol.has_read_ahead,
            protocol.reader,
        )

    def _reserve(self) -> MemoryShare:
        """Return the memory of a large body; bodies that stopped arriving give way."""
        if self.waits.make_room(lambda: self.memory.has_room):
            share = self.memory.reserve()
            if share is not None:
                return share
        self._report_refused()
        raise NoBodyMemory("the memory for large bodies is used up")

    def _add_rest(self, body: Body, source: BodySource) -> None:
        if not source.is_ended:
            body.rest = source
            self.counts.sent_on += 1

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
        if body.held is not None:
            body.held.release()
        if body.share is not None:
            body.share.release()
        protocol.reader.max_ahead_bytes = MAX_READ_AHEAD_BYTES
