"""Sends a request with its body while its answer is awaited."""

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from http.client import HTTPException
from typing import Any

from eventlet import spawn
from eventlet.event import Event
from eventlet.greenthread import GreenThread
from urllib3.exceptions import HTTPError

from persimmonusher_model.clock import Clock
from persimmonusher_node.bodies import Body, BodyError
from persimmonusher_node.connections import ServerConnection


class BodySender:
    """Sends one request in a green thread of its own, so that an early answer is seen at once.

    A body that breaks off never looks complete: its connection is shut down before the last byte
    or the last chunk.
    """

    def __init__(
        self,
        connection: ServerConnection,
        body: Body,
        clock: Clock,
        check_may_begin: Callable[[], None],
    ) -> None:
        self._connection = connection
        self._socket: socket.socket = connection.sock
        self._body = body
        self._clock = clock
        self._check_may_begin = check_may_begin
        """Raises an exception, which `start` raises too, if nothing may be sent any more."""
        self._thread: GreenThread | None = None
        self._head_sent = Event()
        self._head_error: Exception | None = None
        self._waiting_since: float | None = None
        self._caller_seconds = 0.0
        self.is_whole = False
        """Whether the whole request was sent."""
        self.body_error: BodyError | None = None
        """Why the caller's body ended early."""

    @property
    def caller_seconds(self) -> float:
        """Return how long the sender has waited for the caller's bytes."""
        return self._caller_seconds

    @property
    def is_waiting_for_caller(self) -> bool:
        """Return whether the server has got all that the caller has sent, but not all of it."""
        return self._waiting_since is not None

    def start(self, method: str, target: str, headers: dict[str, str]) -> None:
        """Start to send; return when the head is sent, and raise if that fails."""
        length = self._body.length
        if length is not None:
            headers = {**headers, "Content-Length": str(length)}
        self._thread = spawn(self._send, method, target, headers, length is None)
        self._head_sent.wait()
        if self._head_error is not None:
            raise self._head_error

    def stop(self) -> None:
        """End the sending, whether or not all is sent; the socket is left as it is."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def _send(self, method: str, target: str, headers: dict[str, str], chunked: bool) -> None:
        error: Exception | None = None
        try:
            self._check_may_begin()
        except Exception as refusal:
            self._head_error = refusal
            self._head_sent.send()
            return
        try:
            self._connection.request(
                method,
                target,
                body=self._list_pieces(),
                headers=headers,
                chunked=chunked,
                preload_content=False,
                decode_content=False,
            )
            self.is_whole = True
        except BodyError as body_error:
            self.body_error = body_error
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
        except (HTTPError, HTTPException, OSError, ValueError) as caught:
            # After the head, the server may still have answered before it closed the connection.
            error = caught
        finally:
            if not self._head_sent.ready():
                self._head_error = error
                self._head_sent.send()

    def _list_pieces(self) -> Iterator[Any]:
        """Yield the pieces of the body; urllib3 asks for the first one when the head is sent."""
        self._head_sent.send()
        pieces = self._body.list_pieces()
        while True:
            self._waiting_since = self._clock.monotonic()
            try:
                piece = next(pieces, None)
            finally:
                self._caller_seconds += self._clock.monotonic() - self._waiting_since
            self._waiting_since = None
            if piece is None:
                return
            yield piece
