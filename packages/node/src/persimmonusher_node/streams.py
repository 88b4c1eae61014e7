"""The rest of an answer that is too long to be buffered."""

from collections.abc import Callable, Iterator

from persimmonusher_decisions.work import OutcomeKind
from persimmonusher_node.upstream import AttemptError


class AnswerStream(Iterator[bytes]):
    """Passes on a backend server's answer and calls `end` exactly once with how it ended.

    `end` gets None for a whole answer, else the kind of failure. This is a class and not a
    generator because a generator that is never started does not run its `finally`: the request
    would stay in flight at the backend server.
    """

    def __init__(self, source: Iterator[bytes], end: Callable[[OutcomeKind | None], None]) -> None:
        self._source = source
        self._end: Callable[[OutcomeKind | None], None] | None = end

    def __next__(self) -> bytes:
        try:
            return next(self._source)
        except StopIteration:
            self._report_end(None)
            raise
        except AttemptError as error:
            self._report_end(error.kind)
            raise

    def close(self) -> None:
        """Close the stream; before its end that means that the caller left: CANCELLED."""
        close = getattr(self._source, "close", None)
        if close is not None:
            close()
        self._report_end(OutcomeKind.CANCELLED)

    def _report_end(self, broken: OutcomeKind | None) -> None:
        end, self._end = self._end, None
        if end is not None:
            end(broken)
