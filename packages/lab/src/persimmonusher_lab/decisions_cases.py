"""The cases that the decisions are measured in."""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from persimmonusher_lab.decisions_servers import CRASH_SECONDS, FakeServer, Fault
from persimmonusher_lab.decisions_simulation import FAULT_AT, RESEND_SECONDS, Case, Simulation
from persimmonusher_lab.decisions_sites import SHORT_WORK_SECONDS

USUAL_LOAD: Final = 0.7
CRASH_RESENDS: Final = 10
CUT_DOMAIN: Final = 1


def _steady(load: float) -> Callable[[float], float]:
    return lambda now: load


def _burst(now: float) -> float:
    return 1.6 if FAULT_AT + 1.0 <= now < FAULT_AT + 3.0 else USUAL_LOAD


def _overload(load: float) -> Callable[[float], float]:
    return lambda now: load if now >= FAULT_AT - 2.0 else USUAL_LOAD


def _set_fault(fault: Fault) -> Callable[[Simulation], None]:
    def inject(simulation: Simulation) -> None:
        for server in simulation.servers[: simulation.case.faulty_count]:
            server.fault = replace(fault, cut_from=set(fault.cut_from))

    return inject


def _flap(period_seconds: float) -> Callable[[Simulation], None]:
    def toggle(simulation: Simulation, server: FakeServer) -> None:
        server.fault = Fault(failure_share=0.0 if server.fault.failure_share else 0.8)
        simulation.loop.call_later(period_seconds / 2.0, toggle, simulation, server)

    def inject(simulation: Simulation) -> None:
        toggle(simulation, simulation.servers[0])

    return inject


def _cut_domain(simulation: Simulation) -> None:
    simulation.servers[0].fault = Fault(cut_from={simulation.domains[CUT_DOMAIN]})


def _restart_cold(simulation: Simulation) -> None:
    now = simulation.loop.now
    for server in simulation.servers[: simulation.case.faulty_count]:
        server.server = replace(server.server, boot_id=2)
        server.fault = Fault(cold_until=now + server.COLD_SECONDS)
    simulation.announce()


def _fail_everywhere(simulation: Simulation) -> None:
    for server in simulation.servers:
        server.fault = Fault(failure_share=0.3)


def _send_crashing(simulation: Simulation) -> None:
    def resend(resends_left: int) -> None:
        entry = int(simulation.random.random() * simulation.site.entries)
        call = simulation.make_call(SHORT_WORK_SECONDS, entry, "caller-crash")
        call.crashing = True
        simulation.send(call, "crash", idempotent=True)
        if resends_left:
            simulation.loop.call_later(RESEND_SECONDS, resend, resends_left - 1)

    def announce_restarts() -> None:
        simulation.loop.call_later(0.1, announce_restarts)
        for server in simulation.servers:
            boot_id = server.crashes + 1
            if server.server.boot_id != boot_id and simulation.loop.now >= server.crashed_until:
                server.server = replace(server.server, boot_id=boot_id)
                simulation.announce()

    resend(CRASH_RESENDS)
    announce_restarts()


def _report_load(load: int) -> Callable[[Simulation], None]:
    return _set_fault(Fault(reported_load=load))


def _fault_case(name: str, fault: Fault, seconds: float = 9.0) -> Case:
    return Case(name, _steady(USUAL_LOAD), _set_fault(fault), seconds, faulty_count=1)


CASES: Final = (
    Case("well", _steady(USUAL_LOAD)),
    Case("well, load 0.85", _steady(0.85)),
    Case("burst to 1.6", _burst),
    Case("skewed demand", _steady(USUAL_LOAD), skewed=True),
    _fault_case("slow 2x", Fault(slow_factor=2.0)),
    _fault_case("slow 8x", Fault(slow_factor=8.0)),
    _fault_case("slow 50x", Fault(slow_factor=50.0)),
    _fault_case("failing 10%", Fault(failure_share=0.1), 14.0),
    _fault_case("failing 50%", Fault(failure_share=0.5)),
    _fault_case("failing 100%", Fault(failure_share=1.0)),
    _fault_case("fail-fast 100%", Fault(failure_share=1.0, fail_fast=True)),
    Case("flapping 0.4 s", _steady(USUAL_LOAD), _flap(0.4), 14.0, faulty_count=1),
    Case("flapping 2 s", _steady(USUAL_LOAD), _flap(2.0), 14.0, faulty_count=1),
    Case("flapping 10 s", _steady(USUAL_LOAD), _flap(10.0), 24.0, faulty_count=1),
    Case(
        "one-way cut",
        _steady(USUAL_LOAD),
        _cut_domain,
        9.0,
        faulty_count=1,
        watched_domain=CUT_DOMAIN,
    ),
    Case("cold third", _steady(0.6), _restart_cold, 14.0, faulty_count=4),
    Case("overload 1.5x", _overload(1.5), None, 12.0),
    Case("overload 3x", _overload(3.0), None, 12.0),
    Case("overload 3x, greedy caller", _overload(3.0), None, 12.0, greedy=True),
    Case("common cause 30%", _steady(USUAL_LOAD), _fail_everywhere),
    Case("half fail 100%", _steady(0.4), _set_fault(Fault(failure_share=1.0)), 9.0, faulty_count=7),
    Case("crashing request", _steady(USUAL_LOAD), _send_crashing, FAULT_AT + CRASH_SECONDS + 8.0),
    Case("one reports load 0", _steady(USUAL_LOAD), _report_load(0), 9.0, faulty_count=1),
    Case("one reports load 99", _steady(USUAL_LOAD), _report_load(99), 9.0, faulty_count=1),
    Case(
        "all report load 0, overload 1.5x", _overload(1.5), _report_load(0), 12.0, faulty_count=99
    ),
)
