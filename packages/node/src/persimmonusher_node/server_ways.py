"""Opens connections to backend servers, directly or through another instance."""

from eventlet import spawn_n
from structlog import get_logger
from urllib3.exceptions import HTTPError

from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.ways import Verdict, Ways
from persimmonusher_model.clock import Clock
from persimmonusher_node.connections import (
    CONNECT_TIMEOUT_SECONDS,
    ServerConnection,
    ServerPool,
)
from persimmonusher_node.relays import RelayDialer, RelayError
from persimmonusher_node.server_openings import (
    OpeningResult,
    ServerOpenings,
    Way,
    classify_opening_error,
)

_log = get_logger(__name__)


class OpeningError(Exception):
    """No connection to a server could be opened; `verdict` tells whether the server is down."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(f"no connection to the backend server: {verdict.value}")
        self.verdict = verdict


class ServerWays:
    """Chooses the way of each new connection, and finds out when a lost way works again.

    Without `relays` there are only direct connections, and a server that isn't reached is down.
    """

    def __init__(self, clock: Clock, relays: RelayDialer | None = None) -> None:
        self._clock = clock
        self._relays = relays
        self._ways = Ways()
        self._pools: dict[str, ServerPool] = {}
        """The pools of servers whose ways are lost, by address."""
        self.openings = ServerOpenings()
        if relays is not None:
            relays.openings = self.openings

    @property
    def lost_count(self) -> int:
        """Return the number of servers that only other instances reach."""
        return self._ways.lost_count

    def may_reach(self, address: str) -> bool:
        """Return whether this instance has a direct way to a server, as far as it knows."""
        return self._ways.plan(address, self._clock.monotonic()).direct

    def open(self, pool: ServerPool, server: BackendServer, seconds: float) -> ServerConnection:
        """Return a new connection to a server; raise OpeningError if no way leads there."""
        started = self._clock.monotonic()
        plan = self._ways.plan(pool.address, started)
        if plan.direct:
            connection = self._open_directly(pool, seconds)
            if connection is not None:
                return connection
        if self._relays is None:
            raise OpeningError(Verdict.DOWN)
        if not plan.relayed:
            raise OpeningError(self._record_unasked(pool, server))
        left = seconds - (self._clock.monotonic() - started)
        return self._open_through_another(self._relays, pool, server, left)

    def check_cut(self, pool: ServerPool, server: BackendServer, since: float) -> bool:
        """Return whether the direct way to a server is or was cut since a moment.

        A new connection tells, which is kept for the next request.
        """
        if self._relays is None:
            return False
        if self._ways.was_lost_since(pool.address, since):
            return True
        if self._ways.is_down(pool.address, self._clock.monotonic()):
            return False
        connection = self._open_directly(pool, CONNECT_TIMEOUT_SECONDS)
        if connection is not None:
            pool.release(connection)
            return False
        return not self.check_down(pool, server)

    def check_down(self, pool: ServerPool, server: BackendServer) -> bool:
        """Return whether other instances don't reach a server, though they reach others."""
        if self._relays is None:
            return True
        if not self._ways.plan(pool.address, self._clock.monotonic()).relayed:
            return self._ways.is_down(pool.address, self._clock.monotonic())
        try:
            self._open_through_another(self._relays, pool, server, CONNECT_TIMEOUT_SECONDS).close()
        except OpeningError as error:
            return error.verdict is Verdict.DOWN
        return False

    def probe(self) -> None:
        """Start to open direct connections to servers whose ways are lost."""
        due = self._ways.list_due_probes(self._clock.monotonic())
        self._pools = {
            address: pool for address, pool in self._pools.items() if self._ways.has_failed(address)
        }
        for address in due:
            pool = self._pools.get(address)
            if pool is not None:
                spawn_n(self._probe, pool)

    def close(self) -> None:
        """End the probes, also those that have not begun."""
        for pool in self._pools.values():
            pool.end()
        self._pools.clear()

    def _probe(self, pool: ServerPool) -> None:
        if self._pools.get(pool.address) is not pool:
            # The way was restored, or the ways were closed, before this green thread began.
            return
        connection = self._open_directly(pool, CONNECT_TIMEOUT_SECONDS)
        if connection is None:
            self._ways.record_probe_failed(pool.address, self._clock.monotonic())
        else:
            pool.release(connection)

    def _open_directly(self, pool: ServerPool, seconds: float) -> ServerConnection | None:
        address, clock = pool.address, self._clock
        try:
            connection = pool.connect(seconds)
        except (HTTPError, OSError) as error:
            result = classify_opening_error(error)
            self.openings.record(Way.DIRECT, address, result, clock.monotonic())
            return None
        self.openings.record(Way.DIRECT, address, OpeningResult.OPENED, clock.monotonic())
        was_cut_off = self._ways.is_cut_off
        self._ways.record_opened(address, clock.monotonic())
        if self._pools.pop(address, None) is not None:
            _log.info("way-restored", server=address, was_cut_off=was_cut_off)
        return connection

    def _record_unasked(self, pool: ServerPool, server: BackendServer) -> Verdict:
        """Record a failed opening for which no other instance was asked; return the verdict."""
        if self._ways.is_down(pool.address, self._clock.monotonic()):
            return Verdict.DOWN
        if not self._ways.is_cut_off:
            self._record_failed(pool, server, Verdict.UNKNOWN)
        return Verdict.UNKNOWN

    def _open_through_another(
        self, relays: RelayDialer, pool: ServerPool, server: BackendServer, seconds: float
    ) -> ServerConnection:
        try:
            connection = relays.open(server, seconds)
        except RelayError as error:
            now = self._clock.monotonic()
            if error.verdict is Verdict.UNKNOWN and not relays.choice.has_helped_lately(now):
                self._ways.record_unhelped(now)
            self._record_failed(pool, server, error.verdict)
            raise OpeningError(error.verdict) from error
        self._record_failed(pool, server, Verdict.LOST)
        return connection

    def _record_failed(self, pool: ServerPool, server: BackendServer, verdict: Verdict) -> None:
        was_cut_off = self._ways.is_cut_off
        self._ways.record_failed(pool.address, verdict, self._clock.monotonic())
        if verdict is not Verdict.DOWN and pool.address not in self._pools:
            self._pools[pool.address] = pool
            pool.close()
            _log.info(
                "way-lost",
                server=pool.address,
                service=server.service,
                verdict=verdict.value,
                lost=self._ways.lost_count,
            )
        if self._ways.is_cut_off and not was_cut_off:
            _log.warning("cut-off-from-servers", lost=self._ways.lost_count)
