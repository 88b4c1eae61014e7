"""Announcements of a stand-in backend server, through a stand-in for the platform's balancer."""

import itertools
import json
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import urllib3

from persimmonusher_decisions.server import BackendServer
from persimmonusher_lab import wire

INTERVAL_SECONDS: Final = 1.0
TRIES: Final = 3
TRY_TIMEOUT: Final = urllib3.Timeout(connect=0.5, read=1.0)


class Announcer:
    """Sends the server's state each second to one entry, chosen at random for each try."""

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
        """Send the current state; tell whether an entry took it within the tries."""
        server = self._describe(next(self._sequence))
        body = json.dumps(to_document(server)).encode()
        tries = self._random.sample(self._addresses, min(TRIES, len(self._addresses)))
        return any(self._send(address, body) for address in tries)

    def run(self, sleep: Callable[[float], object] = time.sleep) -> None:
        """Announce each second, for ever."""
        while True:
            self.announce()
            sleep(INTERVAL_SECONDS)

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
