"""Announcements of a stand-in backend server, sent as through the platform's balancer."""

import itertools
import json
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import urllib3

from persimmonusher_decisions.server import BackendServer
from persimmonusher_lab import wire

ANNOUNCE_INTERVAL_SECONDS: Final = 1.0
MAX_TRIES: Final = 3
TRY_TIMEOUT: Final = urllib3.Timeout(connect=0.5, read=1.0)


class Announcer:
    """Sends the server's state to one entry each second; each try goes to another random entry."""

    def __init__(
        self,
        addresses: Sequence[str],
        random: Random,
        describe: Callable[[int], BackendServer],
    ) -> None:
        self._addresses = list(addresses)
        self._random = random
        self._describe = describe
        self._sequence = itertools.count(1)
        self._pool = urllib3.PoolManager(retries=False, timeout=TRY_TIMEOUT)

    def announce(self) -> bool:
        """Send the current state; return whether an entry accepted it within the tries."""
        server = self._describe(next(self._sequence))
        body = json.dumps(to_document(server)).encode()
        tries = self._random.sample(self._addresses, min(MAX_TRIES, len(self._addresses)))
        return any(self._send(address, body) for address in tries)

    def run(self, sleep: Callable[[float], object] = time.sleep) -> None:
        """Announce the state each second, forever."""
        while True:
            self.announce()
            sleep(ANNOUNCE_INTERVAL_SECONDS)

    def _send(self, address: str, body: bytes) -> bool:
        try:
            answer = self._pool.request(
                "POST",
                f"http://{address}{wire.ANNOUNCE_PATH}",
                body=body,
                headers={"Content-Type": "application/json"},
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status < 300


def to_document(server: BackendServer) -> dict[str, object]:
    """Return the announcement's JSON document."""
    return {
        "server_id": server.server_id,
        "service": server.service,
        "address": server.address,
        "failure_domain": server.failure_domain,
        "slots": server.slots,
        "connection_limit": server.connection_limit,
        "boot_id": server.boot_id,
        "sequence": server.sequence,
        "state": server.state.value,
    }
