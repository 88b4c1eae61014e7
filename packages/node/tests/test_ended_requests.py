"""Green threads of requests that have ended before these threads begin, without network."""

from persimmonusher_node import loop

loop.install()

import socket  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from typing import Any, cast  # noqa: E402

import eventlet  # noqa: E402
from eventlet.event import Event  # noqa: E402

from persimmonusher_decisions.relay_choice import RelayPeer  # noqa: E402
from persimmonusher_decisions.server import BackendServer, ServerState  # noqa: E402
from persimmonusher_decisions.ways import Verdict  # noqa: E402
from persimmonusher_decisions.work import (  # noqa: E402
    Dispatch,
    Outcome,
    OutcomeKind,
    Request,
)
from persimmonusher_model.identifiers import (  # noqa: E402
    CallerId,
    FailureDomain,
    RequestId,
    ServerId,
    ServiceName,
)
from persimmonusher_model.profile import Profile  # noqa: E402
from persimmonusher_node.answer_spool import SpooledBody  # noqa: E402
from persimmonusher_node.attempts import Attempts  # noqa: E402
from persimmonusher_node.bodies import Body  # noqa: E402
from persimmonusher_node.body_memory import BodyMemory  # noqa: E402
from persimmonusher_node.calls import Call  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.connections import ServerPool  # noqa: E402
from persimmonusher_node.dialect import OWN_DIALECT  # noqa: E402
from persimmonusher_node.forwarding import Forwarder  # noqa: E402
from persimmonusher_node.records import RecordRing, RequestRecord  # noqa: E402
from persimmonusher_node.relay_protocol import RelayStatus  # noqa: E402
from persimmonusher_node.relays import RelayDialer, RelaySearch  # noqa: E402
from persimmonusher_node.runs import Run  # noqa: E402
from persimmonusher_node.stop_progress import StopProgress  # noqa: E402
from persimmonusher_node.upstream import (  # noqa: E402
    Attempt,
    AttemptError,
    Upstream,
    UpstreamAnswer,
    UpstreamRequest,
)

CLOCK = SystemClock()
HEDGE_DELAY_SECONDS = 0.01
PEER = RelayPeer("10.0.0.2:80", FailureDomain("north"))


def make_server(name: str) -> BackendServer:
    return BackendServer(
        ServerId(name),
        ServiceName("entries"),
        "10.0.0.1:80",
        FailureDomain("north"),
        4,
        0,
        1,
        1,
        ServerState.READY,
    )


class RecordingReader:
    """A caller that stays connected; counts how often its connection is read ahead."""

    def __init__(self) -> None:
        self.checks = 0

    def has_caller_left(self) -> bool:
        self.checks += 1
        return False


class SimulatedPool:
    """Idle connections of one server; the opening of one is the first effect of an attempt."""

    address = "10.0.0.1:80"

    def __init__(self) -> None:
        self.acquired = 0

    def acquire(self, idempotent: bool) -> Any:
        self.acquired += 1
        raise AssertionError("an attempt began after the end of its request")


class SimulatedAttempt(Attempt):
    """An attempt that answers as soon as `answered` is sent."""

    def __init__(self, answered: Event, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._answered = answered

    def run(self) -> UpstreamAnswer:
        self._answered.wait()
        return UpstreamAnswer(200, (), b"ok")


class SimulatedUpstream:
    """Makes a first attempt that is answered on demand, and real ones after it."""

    def __init__(self) -> None:
        self.pool = SimulatedPool()
        self.answered = Event()
        self.is_first = True

    def start_attempt(
        self,
        server: BackendServer,
        request: UpstreamRequest,
        deadline: float,
        may_begin: Callable[[], bool],
        may_send: Callable[[], bool],
    ) -> Attempt:
        ways = SimpleNamespace(may_reach=lambda address: True)
        arguments = (
            self.pool,
            server,
            request,
            deadline,
            CLOCK,
            65_536,
            OWN_DIALECT,
            ways,
            may_begin,
            may_send,
        )
        is_first, self.is_first = self.is_first, False
        if is_first:
            return SimulatedAttempt(self.answered, *arguments)
        return Attempt(*cast("Any", arguments))


class SimulatedTraffic:
    """Decisions that hedge each request; the first answer arrives as the copy is decided on."""

    def __init__(self, answered: Event) -> None:
        self._answered = answered
        self.finished: list[tuple[int, OutcomeKind]] = []

    def hedge_delay(self, dispatch: Dispatch, now: float) -> float:
        return HEDGE_DELAY_SECONDS

    def hedge(self, first: Dispatch, now: float) -> Dispatch:
        self._answered.send()
        eventlet.sleep(0)
        return Dispatch(first.request, make_server("second"), 2, now)

    def may_send(self, dispatch: Dispatch, now: float) -> bool:
        return True

    def apply_advice(self, dispatch: Dispatch, advice: Any, now: float) -> bool:
        return False

    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[()]:
        self.finished.append((dispatch.attempt, outcome.kind))
        return ()

    def pop_notices(self) -> tuple[()]:
        return ()


class RecordingDialer(RelayDialer):
    """Records which instances are asked for a connection."""

    asked: list[RelayPeer]

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.asked = []

    def _try(self, peer: RelayPeer, server: BackendServer, seconds: float) -> RelayStatus:
        self.asked.append(peer)
        return RelayStatus.UNAVAILABLE


class RecordingConnection:
    """A connection to a server; its owner calls `on_start` just before a body's sender begins."""

    def __init__(self) -> None:
        self.on_start: Callable[[], None] = lambda: None
        self.requests = 0
        self.may_have_sent = False
        self.timeout = 0.0

    @property
    def sock(self) -> None:
        """The socket, which a sender takes before its green thread is spawned."""
        eventlet.spawn_n(self.on_start)

    def begin_request(self, request_id: str) -> None:
        """Accept any request, as a new connection does."""

    def request(self, *arguments: Any, **options: Any) -> None:
        self.requests += 1
        raise ConnectionResetError("nothing should be sent")


class DueClock(SystemClock):
    """A clock on which a second passes between two readings, so that every probe is due."""

    def __init__(self) -> None:
        self._now = 0.0

    def monotonic(self) -> float:
        self._now += 1.0
        return self._now


class OpenConnection:
    """A connection to a server."""

    is_closed = False
    idle_since = 0.0

    def close(self) -> None:
        self.is_closed = True


class ProbedPool(ServerPool):
    """A pool whose connections open at once; `on_connect` is called meanwhile."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.opened: list[OpenConnection] = []
        self.on_connect: Callable[[], None] = lambda: None

    def connect(self, timeout: float) -> Any:
        self.opened.append(OpenConnection())
        self.on_connect()
        return self.opened[-1]


class EndedRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.upstream = SimulatedUpstream()
        self.traffic = SimulatedTraffic(self.upstream.answered)
        self.reader = RecordingReader()
        self.attempts = Attempts(
            cast("Any", self.upstream), CLOCK, lambda live, decision: None, lambda server: None
        )
        self.run_in_flight = self.make_run()
        self.first = Dispatch(self.run_in_flight.request, make_server("first"), 1, 0.0)

    def make_run(self) -> Run:
        now = CLOCK.monotonic()
        name, caller = RequestId("r1"), CallerId("c1")
        call = Call(
            name,
            caller,
            "lookup",
            "GET",
            "entries.example",
            "/",
            "/",
            (),
            now,
            None,
            None,
            Body(),
            cast("Any", self.reader),
        )
        request = Request(name, caller, "lookup", True, now, now + 5.0, "print")
        record = RequestRecord(
            name, "entries", caller, "lookup", "GET", "/", True, now, cast("Any", None)
        )
        live = SimpleNamespace(traffic=self.traffic, name="entries")
        return Run(call, cast("Any", live), request, record, StopProgress(SystemClock()))

    # Guards against a copy that begins, and reads its caller's connection, after the answer.
    def test_a_copy_that_has_not_begun_when_its_request_is_answered_never_begins(self) -> None:
        ended = self.attempts.carry_out(self.run_in_flight, self.first)
        self.assertEqual(ended.outcome.kind, OutcomeKind.SUCCESS)
        checks = self.reader.checks
        eventlet.sleep(0.01)
        self.assertEqual((self.upstream.pool.acquired, self.reader.checks), (0, checks))
        finished = [(1, OutcomeKind.SUCCESS), (2, OutcomeKind.CANCELLED)]
        self.assertEqual(self.traffic.finished, finished)

    # Guards against an attempt that begins after its request has ended, however it was started.
    def test_no_attempt_begins_for_a_request_that_has_ended(self) -> None:
        self.run_in_flight.end()
        with self.assertRaises(AttemptError) as caught:
            self.make_attempt().run()
        self.assertIs(caught.exception.kind, OutcomeKind.CANCELLED)
        self.assertEqual((self.upstream.pool.acquired, self.reader.checks), (0, 0))

    # Guards against other instances being asked for a connection that has been opened already.
    def test_no_instance_is_asked_for_a_connection_after_the_end_of_its_search(self) -> None:
        search = RelaySearch(CLOCK, 1.0)
        dialer = RecordingDialer(cast("Any", None), "", CLOCK)
        eventlet.spawn_n(dialer._try_for, search, PEER, make_server("first"))
        search.is_over = True
        eventlet.sleep(0)
        self.assertEqual(dialer.asked, [])

    # Guards against a large body that is sent after its request was stopped, as one that may run.
    def test_no_byte_of_a_large_body_is_sent_after_its_attempt_was_cancelled(self) -> None:
        connection = RecordingConnection()
        body = Body(share=BodyMemory(1 << 20).reserve())
        body.kept = b"x"
        request = UpstreamRequest("r1", "POST", "/", {}, body, False)
        attempt = self.make_attempt(request)
        connection.on_start = lambda: attempt.cancel(OutcomeKind.TIMEOUT)
        with self.assertRaises(AttemptError) as caught:
            attempt._exchange(cast("Any", connection))
        self.assertEqual((connection.requests, caught.exception.is_unsent), (0, True))

    # Guards against a probe that opens a connection after the stop of its instance.
    def test_a_probe_that_has_not_begun_at_the_stop_opens_nothing(self) -> None:
        upstream, pool = self.probe()
        upstream.close()
        eventlet.sleep(0)
        self.assertEqual(pool.opened, [])

    # Guards against a probe whose connection stays open after a stop that came meanwhile.
    def test_a_connection_that_a_probe_opens_during_the_stop_is_closed(self) -> None:
        upstream, pool = self.probe()
        pool.on_connect = upstream.close
        eventlet.sleep(0)
        self.assertEqual([one.is_closed for one in pool.opened], [True])

    # Guards against a connection that returns to a pool that nothing uses or closes any more.
    def test_a_connection_released_after_the_stop_is_closed(self) -> None:
        upstream, connection = Upstream(CLOCK, 65_536), OpenConnection()
        pool = upstream._find_pool(make_server("first"))
        upstream.close()
        pool.release(cast("Any", connection))
        self.assertTrue(connection.is_closed)

    # Guards against the check of a lost answer that opens a connection after the stop.
    def test_no_way_is_checked_after_the_stop(self) -> None:
        upstream, checked = Upstream(CLOCK, 65_536), []
        upstream.ways.check_cut = lambda *arguments: bool(  # type: ignore[method-assign]
            checked.append(arguments)
        )
        upstream.close()
        self.assertFalse(upstream.is_way_lost(make_server("first"), False, 0.0))
        self.assertEqual(checked, [])

    # Guards against a server's answer that is read on after its caller's request has ended.
    def test_nothing_is_read_ahead_for_an_answer_that_has_ended(self) -> None:
        rest = iter([b"more"])
        body = self.spool(rest)
        self.assertEqual(next(iter(body)), b"first")
        body.close()
        eventlet.sleep(0)
        self.assertEqual(list(rest), [b"more"])

    # Guards against ending a connection's next request for an answer that its caller didn't read.
    def test_a_connection_is_not_interrupted_for_an_answer_that_has_ended(self) -> None:
        body = self.spool(iter([b"more"]))
        writing = iter(body)
        next(writing)
        body._abort()
        body.close()
        eventlet.sleep(0.01)

    def spool(self, rest: Iterator[bytes]) -> SpooledBody:
        share = BodyMemory(1 << 20).reserve()
        assert share is not None
        connection = socket.socket()
        connection.close()
        protocol = SimpleNamespace(connection=connection, cut_off=lambda: None)
        return SpooledBody(
            b"first", rest, cast("Any", protocol), share, CLOCK, 5.0, lambda: None, lambda: None
        )

    def probe(self) -> tuple[Upstream, "ProbedPool"]:
        """Spawn a probe of a lost way, which has not begun on return."""
        upstream, pool = Upstream(DueClock(), 65_536), ProbedPool("10.0.0.1:80", CLOCK)
        upstream.ways._record_failed(pool, make_server("first"), Verdict.LOST)
        upstream.ways.probe()
        return upstream, pool

    # Guards against attempts that go on for a request that an error inside has ended.
    def test_the_end_of_a_request_cancels_its_attempts(self) -> None:
        attempt = self.make_attempt()
        self.run_in_flight.add_attempt(self.first, attempt)
        self.run_in_flight.end()
        with self.assertRaises(AttemptError) as caught:
            attempt.run()
        self.assertIs(caught.exception.kind, OutcomeKind.CANCELLED)
        self.assertIs(attempt._stopped, OutcomeKind.CANCELLED)
        self.assertEqual(self.upstream.pool.acquired, 0)

    # Guards against a request that was answered and still asks about its caller's connection.
    def test_an_answered_request_never_looks_at_its_callers_connection_again(self) -> None:
        services = SimpleNamespace(revision=lambda: 1, find_freshness=lambda: None)
        observer = SimpleNamespace(observe=lambda finished: None)
        forwarder = Forwarder(
            cast("Any", services),
            cast("Any", self.upstream),
            RecordRing(),
            cast("Any", observer),
            CLOCK,
            lambda server: None,
        )
        profile = Profile(deadline_ms=2_000)
        live = SimpleNamespace(traffic=self.traffic, name="entries", profile=profile, in_flight=0)
        run = forwarder._start(self.run_in_flight.call, cast("Any", live))
        forwarder._end(run, None)
        self.assertFalse(run.may_begin(CLOCK.monotonic()))
        self.assertEqual(self.reader.checks, 0)

    def make_attempt(self, request: UpstreamRequest | None = None) -> Attempt:
        self.upstream.is_first = False
        request = request or UpstreamRequest("r1", "GET", "/", {}, Body(), True)
        return self.upstream.start_attempt(
            make_server("first"),
            request,
            CLOCK.monotonic() + 5.0,
            lambda: self.run_in_flight.may_begin(CLOCK.monotonic()),
            lambda: True,
        )


if __name__ == "__main__":
    unittest.main()
