"""The rest of an answer that is too long to be held whole."""

from collections.abc import Callable, Iterator

from persimmonusher_decisions.work import OutcomeKind
from persimmonusher_node.upstream import AttemptError


class AnswerStream(Iterator[bytes]):
    """Passes a backend server's answer on and tells once how it ended.

    A class rather than a generator: a generator that was never begun doesn't run its `finally`,
    and the place on the backend server would stay taken.
    """

    def __init__(self, source: Iterator[bytes], end: Callable[[OutcomeKind | None], None]) -> None:
        self._source = source
        self._end: Callable[[OutcomeKind | None], None] | None = end

    def __next__(self) -> bytes:
        try:
            return next(self._source)
        except StopIteration:
            self._tell(None)
            raise
        except AttemptError as error:
            self._tell(error.kind)
            raise

    def close(self) -> None:
        """End the stream; the caller left before its end when it is not at the end."""
        close = getattr(self._source, "close", None)
        if close is not None:
            close()
        self._tell(OutcomeKind.CANCELLED)

    def _tell(self, broken: OutcomeKind | None) -> None:
        end, self._end = self._end, None
        if end is not None:
            end(broken)
