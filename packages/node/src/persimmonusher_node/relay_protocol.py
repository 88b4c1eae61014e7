"""The head of an HTTP CONNECT request between instances, and of its answer."""

import hmac
import re
from dataclasses import dataclass
from enum import Enum
from typing import Final

MAX_HEAD_BYTES: Final = 2_048
SERVICE_HEADER: Final = "Persimmonusher-Service"
TOKEN_HEADER: Final = "Proxy-Authorization"
TOKEN_SCHEME: Final = "Bearer"
REQUEST_PATTERN: Final = re.compile(
    rb"CONNECT (\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}) HTTP/1\.1\r\n((?:[!-9;-~]+: [ -~]*\r\n)*)\r\n"
)
ANSWER_PATTERN: Final = re.compile(rb"HTTP/1\.1 (\d{3}) [ -~]*\r\n(?:[!-9;-~]+: [ -~]*\r\n)*\r\n")


class RelayStatus(Enum):
    """The answers to a request for a connection, by their HTTP status."""

    OPENED = 200
    BAD_REQUEST = 400
    NOT_A_SERVER = 403
    """The address isn't one of the service's registered servers."""
    NO_TOKEN = 407
    UNREACHED = 502
    """The answering instance reaches other servers, but not this one."""
    UNAVAILABLE = 503
    """The answering instance can't say: it is full, stopping, or cut off itself."""


REASONS: Final = {
    RelayStatus.OPENED: "Connection established",
    RelayStatus.BAD_REQUEST: "Bad Request",
    RelayStatus.NOT_A_SERVER: "Not a registered server",
    RelayStatus.NO_TOKEN: "Proxy Authentication Required",
    RelayStatus.UNREACHED: "Server not reached",
    RelayStatus.UNAVAILABLE: "Service Unavailable",
}


@dataclass(frozen=True)
class RelayRequest:
    """A request for a connection to a server of a service."""

    address: str
    service: str
    token: str

    def has_token(self, token: str) -> bool:
        """Return whether the request carries the fleet's token."""
        return hmac.compare_digest(self.token.encode(), token.encode())


def make_request(address: str, service: str, token: str) -> bytes:
    """Return the head of a request for a connection."""
    lines = (
        f"CONNECT {address} HTTP/1.1",
        f"Host: {address}",
        f"{SERVICE_HEADER}: {service}",
        f"{TOKEN_HEADER}: {TOKEN_SCHEME} {token}",
    )
    return "\r\n".join((*lines, "", "")).encode("latin-1")


def parse_request(head: bytes) -> RelayRequest:
    """Return the request in a head; raise ValueError if it is malformed."""
    match = REQUEST_PATTERN.fullmatch(head)
    if match is None:
        raise ValueError("the request is not a well-formed CONNECT")
    headers = dict(line.split(": ", 1) for line in match[2].decode("latin-1").split("\r\n") if line)
    token = headers.get(TOKEN_HEADER, "").removeprefix(f"{TOKEN_SCHEME} ")
    return RelayRequest(match[1].decode(), headers.get(SERVICE_HEADER, ""), token)


def make_answer(status: RelayStatus) -> bytes:
    """Return the head of an answer."""
    return f"HTTP/1.1 {status.value} {REASONS[status]}\r\n\r\n".encode()


def parse_answer(head: bytes) -> RelayStatus:
    """Return the status in an answer's head; raise ValueError if it is malformed or unknown."""
    match = ANSWER_PATTERN.fullmatch(head)
    if match is None:
        raise ValueError("the answer to CONNECT is malformed")
    return RelayStatus(int(match[1]))
