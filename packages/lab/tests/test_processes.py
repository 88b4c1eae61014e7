"""Failures of real processes under load, counted at the servers. Bounded to about a minute."""

import json
import shutil
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP

import urllib3

from persimmonusher_lab import promises, wire
from persimmonusher_lab.backend_server import CRASH_EXIT_CODE
from persimmonusher_lab.demo_steps import find_leader, wait_for_entries
from persimmonusher_lab.faults import Faults
from persimmonusher_lab.fleet import (
    Fleet,
    InstancePlan,
    ServerPlan,
    choose_network,
    plan_instances,
    plan_servers,
    wait_for,
)
from persimmonusher_lab.ledger import read_ledgers
from persimmonusher_lab.load import Told, Try, read_tries
from persimmonusher_lab.processes import ProcessRunner
from persimmonusher_lab.relay import Cut, Relay
from persimmonusher_protocol import operator_pb2 as pb

HOST = "shows.example"
SERVICE = "shows"
START_TIMEOUT_SECONDS = 15.0
RATE = 50.0
DEADLINE_MS = 1_500
PROFILE = json.dumps({"preset": "detection-first"})
PUT_SERVICE = json.dumps({"profile": SERVICE})
PUT_ROUTE = json.dumps({"service": SERVICE})


class ProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.network = choose_network()
        self.accepted: dict[str, tuple[pb.Change, int]] = {}
        self.runner = self.enterContext(ProcessRunner(self.folder))

    def start_fleet(self, servers: list[ServerPlan]) -> Fleet:
        fleet = Fleet(self.runner, self.folder, plan_instances(self.network, 5, 3), servers)
        fleet.start_all()
        wait_for("a leader", lambda: find_leader(fleet) or None, START_TIMEOUT_SECONDS, self.runner)
        self.propose(fleet, "p0", pb.PROFILE, SERVICE, PROFILE)
        self.propose(fleet, "s0", pb.SERVICE, SERVICE, PUT_SERVICE)
        revision = self.propose(fleet, "r0", pb.ROUTE, f"{HOST}/", PUT_ROUTE)
        wait_for(
            "configuration", lambda: self.all_have(fleet, revision) or None, START_TIMEOUT_SECONDS
        )
        wait_for("servers", lambda: self.all_know_servers(fleet) or None, START_TIMEOUT_SECONDS)
        wait_for_entries(fleet, HOST)
        return fleet

    def propose(
        self, fleet: Fleet, change_id: str, kind: pb.ObjectKind, name: str, body: str
    ) -> int:
        """Propose a change to the current object; return the revision it was accepted as."""
        client = fleet.make_client(20.0)
        found = client.read_objects(kind, name).objects
        based_on = found[0].revision if found else 0
        change = pb.Change(change_id=change_id, kind=kind, name=name, based_on=based_on, body=body)
        reply = client.propose(change)
        self.assertEqual(reply.verdict, pb.ACCEPTED, reply)
        self.accepted[change_id] = (change, reply.revision)
        return reply.revision

    def all_have(self, fleet: Fleet, revision: int) -> bool:
        found = fleet.make_client(2.0).list_instances().instances
        running = sum(fleet.processes[item.instance_id].is_running for item in fleet.instances)
        ahead = [item for item in found if item.answered and item.revision >= revision]
        return len(ahead) == running

    def all_know_servers(self, fleet: Fleet) -> bool:
        found = fleet.make_client(2.0).list_servers("").servers
        views = [len(item.views) for item in found if item.state == "ready"]
        return len(views) == len(fleet.servers) and min(views) == len(fleet.instances)

    def check_servers_counts(self, fleet: Fleet, report: Path, least_ran: float = 0.9) -> list[Try]:
        """Check every promise to callers against what the servers really ran.

        `least_ran` is the share of the pieces of work whose last try must have run.
        """
        tries = read_tries([report])
        records = read_ledgers(fleet.ledgers)
        results = (
            promises.check_at_most_once(tries, records),
            promises.check_not_lost(tries, records),
            promises.check_not_run(tries, records),
            promises.check_whole_answers(tries),
        )
        for result in results:
            with self.subTest(promise=result.promise):
                self.assertTrue(result.held, result.figure)
        answered = promises.count_final_outcomes(tries)
        for kind, counts in answered.items():
            with self.subTest(kind=kind):
                self.assertGreater(counts["ran"], least_ran * sum(counts.values()), counts)
        return tries

    def test_entry_killed_and_another_frozen_under_load(self) -> None:
        """One entry is killed; another one and a server freeze with requests in their buffers.
        Callers time out and resend with their keys through other entries. When the frozen processes
        continue, they find old requests in their buffers that have run elsewhere meanwhile: a
        fleet that runs them then has doubled an entry.
        """
        fleet = self.start_fleet(plan_servers(self.network, {SERVICE: 4}))
        load, report = fleet.start_load(1, HOST, 8.0, RATE, DEADLINE_MS)
        time.sleep(1.0)
        fleet.processes["i4"].send(SIGKILL)
        time.sleep(1.0)
        frozen = [fleet.processes["i5"], fleet.processes["shows-1"]]
        for process in frozen:
            process.send(SIGSTOP)
        time.sleep(2.5)
        for process in frozen:
            process.send(SIGCONT)
        self.assertEqual(load.wait(25.0), 0, load.read_tail())
        self.check_servers_counts(fleet, report)

    def test_answers_lost_one_way_and_connections_broken(self) -> None:
        """A server's answers are lost while requests still reach it. Then every connection to the
        other servers breaks three times; all servers are slow then, so that entries are surely in
        progress. Callers see errors although entries ran: a resend that runs again, or a `not run`
        for work that did run, shows in the servers' ledgers.
        """
        plans = plan_servers(self.network, {SERVICE: 4})
        relays = []
        servers = []
        for number, plan in enumerate(plans):
            own = f"{self.network}.{200 + number}:8100"
            relays.append(self.enterContext(Relay(plan.address, own)))
            servers.append(replace(plan, listens_at=own))
        fleet = self.start_fleet(servers)
        load, report = fleet.start_load(1, HOST, 7.0, RATE, DEADLINE_MS)
        time.sleep(1.0)
        relays[0].cut = Cut.TO_SOURCE
        time.sleep(2.0)
        relays[0].cut = Cut.NONE
        relays[0].reset_connections()
        for plan in plans:
            fleet.set_faults(plan.server_id, Faults(slow_factor=12.0))
        for _ in range(3):
            time.sleep(0.5)
            for relay in relays[1:]:
                relay.reset_connections()
        for plan in plans:
            fleet.set_faults(plan.server_id, Faults())
        relays[2].cut = Cut.BOTH
        time.sleep(1.0)
        relays[2].cut = Cut.NONE
        self.assertEqual(load.wait(25.0), 0, load.read_tail())
        self.assertGreater(relays[0].dropped_bytes, 0)
        tries = self.check_servers_counts(fleet, report, least_ran=0.6)
        unknown = {item.detail for item in tries if item.told is Told.UNKNOWN}
        self.assertLessEqual({"answer-broken", "answer-timeout"}, unknown)

    def test_crashing_request_costs_a_bounded_number_of_servers(self) -> None:
        """One request crashes each server that runs it. Its caller resends it many times, through
        one entry after another. Without quarantine every server is lost. With it, two are lost,
        the request is refused at once as not run, and the other servers serve the other requests.
        """
        fleet = self.start_fleet(plan_servers(self.network, {SERVICE: 5}))
        load, report = fleet.start_load(1, HOST, 6.0, RATE, DEADLINE_MS)
        time.sleep(1.0)
        answers = []
        for address in fleet.list_caller_addresses() * 2:
            answers.append(self.send_crashing(address))
            time.sleep(0.4)
        crashed = [
            plan.server_id
            for plan in fleet.servers
            if fleet.processes[plan.server_id].popen.poll() == CRASH_EXIT_CODE
        ]
        self.assertEqual(len(crashed), 2, (crashed, answers))
        self.assertEqual(answers[-1], (503, "not-run", "quarantined"))
        self.assertEqual(load.wait(25.0), 0, load.read_tail())
        self.check_servers_counts(fleet, report)

    def send_crashing(self, address: str) -> tuple[int, str | None, str]:
        answer = urllib3.request(
            "POST",
            f"http://{address}/crash",
            headers={"Host": HOST},
            body=b"the same each time",
            retries=False,
            timeout=5.0,
        )
        return answer.status, answer.headers.get(wire.OUTCOME), answer.json().get("code")

    def test_keeper_wiped_and_a_second_lost_right_after(self) -> None:
        """The leading keeper is killed and comes back with an empty disk; right after, a second
        keeper is killed. If the repaired keeper voted as if it had kept its log and its votes, it
        could elect itself with the empty log, and accepted changes would be lost.
        """
        fleet = self.start_fleet(plan_servers(self.network, {SERVICE: 2}))
        bodies = [json.dumps({"preset": "detection-first", "ramp_ms": n}) for n in range(100, 106)]
        revisions = [
            self.propose(fleet, f"c{n}", pb.PROFILE, SERVICE, body) for n, body in enumerate(bodies)
        ]
        first = find_leader(fleet)
        self.kill(fleet, first)
        revisions.append(self.propose(fleet, "c-killed", pb.PROFILE, SERVICE, PROFILE))
        shutil.rmtree(self.folder / f"{first}-data")
        fleet.start_instance(self.find_plan(fleet, first))
        wait_for("the repaired one", lambda: self.answers_as_keeper(fleet, first) or None, 10.0)
        second = next(
            item.instance_id
            for item in fleet.instances
            if item.is_keeper and item.instance_id not in (first, find_leader(fleet))
        )
        self.kill(fleet, second)
        time.sleep(2.0)
        self.check_accepted(fleet, revisions[-1])
        fleet.start_instance(self.find_plan(fleet, second))
        last = self.propose(fleet, "c-after", pb.PROFILE, SERVICE, bodies[0])
        self.assertGreater(last, revisions[-1])
        wait_for("all in force", lambda: self.all_have(fleet, last) or None, 15.0)
        for change_id, (change, revision) in self.accepted.items():
            with self.subTest(resent=change_id):
                again = fleet.make_client(20.0).propose(change)
                self.assertEqual((again.verdict, again.revision), (pb.ACCEPTED, revision))

    def kill(self, fleet: Fleet, instance_id: str) -> None:
        fleet.processes[instance_id].send(SIGKILL)
        fleet.processes[instance_id].wait(5.0)

    def find_plan(self, fleet: Fleet, instance_id: str) -> InstancePlan:
        return next(item for item in fleet.instances if item.instance_id == instance_id)

    def answers_as_keeper(self, fleet: Fleet, instance_id: str) -> bool:
        found = fleet.make_client(2.0).list_keepers().keepers
        return any(item.instance_id == instance_id and item.role != "unreachable" for item in found)

    def check_accepted(self, fleet: Fleet, revision: int) -> None:
        """Check that every running instance still has the accepted changes."""
        found = fleet.make_client(5.0).list_instances().instances
        for item in found:
            if item.answered:
                self.assertGreaterEqual(item.revision, revision, item.instance_id)
        objects = fleet.make_client(5.0).read_objects(pb.PROFILE, SERVICE).objects
        self.assertEqual(objects[0].body, PROFILE)


if __name__ == "__main__":
    unittest.main()
