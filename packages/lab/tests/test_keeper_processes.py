import json
import shutil
import signal
import tempfile
import time
import unittest
from pathlib import Path

from persimmonusher_lab.fleet import Fleet, choose_network, plan_instances, wait_for
from persimmonusher_lab.processes import ProcessRunner
from persimmonusher_protocol import operator_pb2 as pb

TIMEOUT_SECONDS = 30.0


class KeeperProcessesTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        folder = Path(temporary.name)
        runner = ProcessRunner(folder)
        self.addCleanup(runner.end_all)
        self.fleet = Fleet(runner, folder, plan_instances(choose_network(), 4, 3), [])
        self.fleet.start_all()
        self.accepted: list[tuple[pb.Change, int]] = []
        wait_for("a leader", self.find_leader, TIMEOUT_SECONDS, runner)

    def list_keepers(self) -> dict[str, str]:
        """Return each keeper's role by its instance."""
        found = self.fleet.make_client(3.0).list_keepers().keepers
        return {keeper.instance_id: keeper.role for keeper in found if not keeper.failure}

    def find_leader(self) -> str | None:
        roles = self.list_keepers()
        return next((name for name, role in roles.items() if role == "leader"), None)

    def find_follower(self) -> str:
        roles = self.list_keepers()
        return next(name for name, role in sorted(roles.items()) if role == "follower")

    def change(self) -> None:
        """Propose a change, resend it until its outcome is known, and check that it's accepted."""
        number = len(self.accepted)
        change = pb.Change(
            change_id=f"change-{number}",
            kind=pb.PROFILE,
            name=f"profile-{number}",
            body=json.dumps({"ramp_ms": number}),
        )
        reply = self.fleet.make_client(TIMEOUT_SECONDS).propose(change)
        self.assertEqual(reply.verdict, pb.ACCEPTED, reply)
        self.accepted.append((change, reply.revision))

    def kill(self, name: str) -> None:
        process = self.fleet.processes[name]
        process.send(signal.SIGKILL)
        process.wait(5.0)

    def start(self, name: str) -> None:
        (plan,) = [plan for plan in self.fleet.instances if plan.instance_id == name]
        self.fleet.start_instance(plan)

    def is_in_force(self) -> bool:
        instances = self.fleet.make_client(3.0).list_instances().instances
        latest = self.accepted[-1][1]
        return len(instances) == 4 and all(item.revision >= latest for item in instances)

    def test_changes_survive_killed_frozen_and_wiped_keepers(self) -> None:
        """An operator goes on making changes while keepers fail one after the other.

        The leader is killed, the next one is frozen and wakes up, a follower loses its disk and
        comes back empty, and right after it is a voter again another keeper is killed. Whatever
        was accepted must be there, in force everywhere, and a resend must get the same verdict.
        """
        self.change()
        killed = self.find_leader()
        assert killed is not None
        self.kill(killed)
        self.change()
        self.start(killed)
        frozen = wait_for("a new leader", self.find_leader, TIMEOUT_SECONDS)
        self.fleet.processes[frozen].send(signal.SIGSTOP)
        self.change()
        time.sleep(2.0)
        self.fleet.processes[frozen].send(signal.SIGCONT)
        self.change()
        wait_for("all keepers", lambda: len(self.list_keepers()) == 3, TIMEOUT_SECONDS)
        wiped = self.find_follower()
        self.kill(wiped)
        shutil.rmtree(self.fleet.folder / f"{wiped}-data" / "keeper")
        self.start(wiped)
        self.change()
        wait_for("the repaired keeper as a voter", lambda: self.is_voter(wiped), TIMEOUT_SECONDS)
        second = next(name for name in self.list_keepers() if name != wiped)
        self.kill(second)
        self.change()
        self.start(second)
        wait_for("every instance at the latest revision", self.is_in_force, TIMEOUT_SECONDS)
        for change, revision in self.accepted:
            reply = self.fleet.make_client(TIMEOUT_SECONDS).propose(change)
            self.assertEqual((reply.verdict, reply.revision), (pb.ACCEPTED, revision))
        found = self.fleet.make_client().read_objects(pb.PROFILE).objects
        self.assertEqual(
            {(item.name, item.revision) for item in found},
            {(change.name, revision) for change, revision in self.accepted},
        )

    def is_voter(self, name: str) -> bool:
        return self.list_keepers().get(name) in ("leader", "follower")


if __name__ == "__main__":
    unittest.main()
