"""Writes answers to callers by the WSGI protocol."""

from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any, Final

from persimmonusher_node.answers import Answer
from persimmonusher_node.protocol import HttpProtocol

STATUS_LINES: Final = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}
BODYLESS_STATUSES: Final = frozenset({204, 304})


def do_nothing() -> None:
    """End an answer for which nothing is held."""


def write_answer(
    answer: Answer,
    method: str,
    protocol: HttpProtocol,
    start_response: Callable[..., Any],
    end: Callable[[], None] = do_nothing,
) -> Iterable[bytes]:
    """Begin the answer and return its body, by the WSGI protocol; `end` is called after it."""
    bodyless = begin_answer(answer, method, start_response)
    if answer.stream is None:
        return WholeBody([b"" if bodyless else answer.body], end)
    return StreamedBody(answer.body, answer.stream, protocol, end)


def begin_answer(answer: Answer, method: str, start_response: Callable[..., Any]) -> bool:
    """Begin the answer by the WSGI protocol; return whether it has no body."""
    headers = list(answer.headers)
    bodyless = method == "HEAD" or answer.status in BODYLESS_STATUSES
    if answer.stream is None and not bodyless:
        headers = [pair for pair in headers if pair[0].lower() != "content-length"]
        headers.append(("Content-Length", str(len(answer.body))))
    start_response(STATUS_LINES.get(answer.status, f"{answer.status} Unknown"), headers)
    return bodyless


class WholeBody(list[bytes]):
    """The body of an answer that has been read whole."""

    def __init__(self, parts: Iterable[bytes], end: Callable[[], None]) -> None:
        super().__init__(parts)
        self._end = end

    def close(self) -> None:
        """End the answer."""
        self._end()


class StreamedBody:
    """The body of a long answer; the connection is reset if the backend server's answer breaks."""

    def __init__(
        self,
        first: bytes,
        rest: Iterator[bytes],
        protocol: HttpProtocol,
        end: Callable[[], None] = do_nothing,
    ) -> None:
        self._first = first
        self._rest = rest
        self._protocol = protocol
        self._end = end

    def __iter__(self) -> Iterator[bytes]:
        first, self._first = self._first, b""
        yield first
        del first
        try:
            yield from self._rest
        except Exception:
            self._protocol.cut_off()
            raise

    def close(self) -> None:
        """Release the backend server's connection, whether or not the whole body was read."""
        close = getattr(self._rest, "close", None)
        if close is not None:
            close()
        self._end()
