from persimmonusher_node import loop

loop.install()

import errno  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import shutil  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402
from unittest import mock  # noqa: E402

import eventlet  # noqa: E402
from free_ports import find_port  # noqa: E402
from grpclib.server import Server  # noqa: E402

from persimmonusher_agreement.configuration import Configuration  # noqa: E402
from persimmonusher_agreement.configuration_objects import (  # noqa: E402
    Accepted,
    Change,
    Conflict,
    Invalid,
    ObjectKey,
    ObjectKind,
)
from persimmonusher_model.errors import ErrorCode, UsherError  # noqa: E402
from persimmonusher_model.identifiers import Revision, ServiceName  # noqa: E402
from persimmonusher_node import configuration_client, keeper  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.configuration_client import ConfigurationClient  # noqa: E402
from persimmonusher_node.keeper import KeeperRole  # noqa: E402
from persimmonusher_node.keeper_files import KeeperFiles  # noqa: E402
from persimmonusher_node.peers import ChannelPool, require_token  # noqa: E402
from persimmonusher_node.settings import Keeper, Listeners, Settings  # noqa: E402


def make_change(change_id: str, kind: ObjectKind, name: str, based_on: int, body: object) -> Change:
    text = None if body is None else json.dumps(body)
    return Change(change_id, "clerk", ObjectKey(kind, name), Revision(based_on), text)


class Node:
    """One instance in this process: its gRPC server, its client, and its keeper if it is one."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.channels = ChannelPool("peers")
        self.client = ConfigurationClient(settings, self.channels, SystemClock())
        components = [self.client]
        self.role = None
        if settings.is_keeper:
            self.role = KeeperRole(settings, self.channels, SystemClock(), self.client)
            components.append(self.role)
        self.components = components
        self.server = Server([h for c in components for h in c.list_peer_handlers()])
        require_token(self.server, {"peers": "peers"})
        host, _, port = settings.listen.peers.partition(":")
        loop.run_coroutine(self.server.start(host, int(port)))
        for component in components:
            component.start()

    def stop(self) -> None:
        for component in reversed(self.components):
            component.stop()
        self.server.close()
        loop.run_coroutine(self.server.wait_closed())
        self.channels.__exit__(None, None, None)

    def propose(self, change: Change) -> object:
        return loop.run_coroutine(self.client.propose(change))


class KeeperFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.nodes: dict[str, Node] = {}
        self.addCleanup(lambda: [node.stop() for node in self.nodes.values()])
        names = ["k1", "k2", "k3", "e1", "e2"]
        self.addresses = {name: f"127.0.0.1:{find_port()}" for name in names}

    def start(self, name: str, keepers: int = 3) -> Node:
        listed = tuple(
            Keeper(instance_id=f"k{n}", address=self.addresses[f"k{n}"])
            for n in range(1, keepers + 1)
        )
        unused = "127.0.0.1:1"
        listen = Listeners(
            callers=unused,
            announcements=unused,
            peers=self.addresses[name],
            operators=unused,
            metrics=unused,
        )
        settings = Settings(
            instance_id=name,
            failure_domain=name,
            listen=listen,
            keepers=listed,
            seeds=tuple(self.addresses[other] for other in ("e1", "e2")),
            data_folder=str(Path(self.folder.name) / name),
            peer_token="peers",
        )
        self.nodes[name] = Node(settings)
        return self.nodes[name]

    def stop(self, name: str) -> None:
        self.nodes.pop(name).stop()
        for node in self.nodes.values():
            node.channels.forget(self.addresses[name])

    def wait_until(self, holds: Callable[[], bool], seconds: float = 12.0) -> None:
        deadline = time.monotonic() + seconds
        while not holds():
            self.assertLess(time.monotonic(), deadline, "not reached in time")
            eventlet.sleep(0.02)

    def make_service(self, node: Node) -> None:
        changes = [
            make_change("c1", ObjectKind.PROFILE, "lookups", 0, {"preset": "ejection-averse"}),
            make_change("c2", ObjectKind.SERVICE, "entries", 0, {"profile": "lookups"}),
            make_change("c3", ObjectKind.ROUTE, "*/entries", 0, {"service": "entries"}),
        ]
        verdicts = [node.propose(change) for change in changes]
        self.assertEqual(verdicts, [Accepted(Revision(n)) for n in (1, 2, 3)])

    def test_a_change_is_in_force_everywhere_and_survives_the_leader(self) -> None:
        """An operator changes a profile while a keeper fails and an entry restarts.

        The change must reach every entry, a resend must get the first verdict from the new leader,
        and an entry that restarts without keepers must get the configuration from its neighbour.
        """
        for name in ("k1", "k2", "k3", "e1", "e2"):
            self.start(name)
        self.make_service(self.nodes["e1"])
        self.wait_until(lambda: {n.client.revision() for n in self.nodes.values()} == {3})
        for node in self.nodes.values():
            self.assertEqual(node.client.find_service("a.example:80", "/entries/7"), "entries")
            profile = node.client.find_profile(ServiceName("entries"))
            assert profile is not None
            self.assertEqual(profile.health_floor_percent, 75)
        leader = self.get_leader()
        self.stop(leader)
        change = make_change("c4", ObjectKind.PROFILE, "lookups", 1, {"ramp_ms": 1})
        self.assertEqual(self.nodes["e1"].propose(change), Accepted(Revision(4)))
        self.assertEqual(self.nodes["e2"].propose(change), Accepted(Revision(4)))
        race = make_change("c5", ObjectKind.PROFILE, "lookups", 1, {"ramp_ms": 2})
        verdict = self.nodes["e2"].propose(race)
        assert isinstance(verdict, Conflict)
        self.assertEqual((verdict.winner.change_id, verdict.winner.revision), ("c4", 4))
        bad = self.nodes["e2"].propose(make_change("c6", ObjectKind.PROFILE, "x", 0, {"rmp": 1}))
        assert isinstance(bad, Invalid)
        self.wait_until(lambda: self.nodes["e1"].client.revision() == 4)
        for name in {"k1", "k2", "k3"} - {leader}:
            self.stop(name)
        self.stop("e2")
        self.start("e2")
        self.wait_until(lambda: self.nodes["e2"].client.revision() == 4)

    def test_keepers_restart_from_their_disks(self) -> None:
        """All keepers stop; after the restart they still have the accepted changes and verdicts."""
        for name in ("k1", "k2", "k3"):
            self.start(name)
        self.make_service(self.nodes["k2"])
        for name in ("k1", "k2", "k3"):
            self.stop(name)
        for name in ("k1", "k2", "k3"):
            self.start(name)
        self.wait_until(lambda: {n.client.revision() for n in self.nodes.values()} == {3})
        resent = make_change("c1", ObjectKind.PROFILE, "lookups", 0, {"preset": "ejection-averse"})
        self.assertEqual(self.nodes["k3"].propose(resent), Accepted(Revision(1)))
        self.assertEqual(loop.run_coroutine(self.nodes["k3"].client.keepers.confirm()), 3)
        key = ObjectKey(ObjectKind.PROFILE, "lookups")
        history = loop.run_coroutine(self.nodes["k1"].client.keepers.read_history(key))
        self.assertEqual([record.revision for record in history], [1])

    def get_leader(self) -> str:
        (leader,) = [n for n, x in self.nodes.items() if x.role and x.role.keeper.replica.is_leader]
        return leader

    def test_a_wiped_keeper_rejoins_and_a_second_is_lost(self) -> None:
        """A keeper's disk is replaced by an empty one; once it is back, another keeper is lost.

        The repaired keeper must come back with another identity, become a voter, and then be one of
        the two keepers whose majority accepts the next change.
        """
        for name in ("k1", "k2", "k3"):
            self.start(name)
        self.make_service(self.nodes["k2"])
        old = self.nodes["k1"].role.identity  # type: ignore[union-attr]
        self.stop("k1")
        shutil.rmtree(Path(self.folder.name) / "k1")
        repaired = self.start("k1").role
        assert repaired is not None
        self.assertNotEqual(repaired.identity, old)
        self.wait_until(
            lambda: repaired.identity in repaired.keeper.replica.log.members.list_voters()
            and old not in repaired.keeper.replica.log.members.list_voters()
        )
        self.stop("k2")
        change = make_change("c4", ObjectKind.PROFILE, "lookups", 1, {"ramp_ms": 1})
        self.assertEqual(self.nodes["k3"].propose(change), Accepted(Revision(4)))

    def test_a_full_disk_stops_a_keeper_until_there_is_space(self) -> None:
        """The leader's disk is full. It must report that and stop; the others go on.

        Once there is space again it restarts by itself, with the changes accepted meanwhile.
        """
        for name in ("k1", "k2", "k3"):
            self.start(name)
        self.make_service(self.nodes["k2"])
        leader = self.get_leader()
        role = self.nodes[leader].role
        assert role is not None
        other = next(name for name in self.nodes if name != leader)
        folder = role.folder
        full = OSError(errno.ENOSPC, "no space left")

        def write(files: KeeperFiles, descriptor: int, content: bytes) -> None:
            if files.folder == folder:
                raise full
            os.write(descriptor, content)

        with (
            mock.patch.object(KeeperFiles, "_write", write),
            mock.patch.object(keeper, "REOPEN_SECONDS", 0.5),
        ):
            change = make_change("c4", ObjectKind.PROFILE, "lookups", 1, {"ramp_ms": 1})
            self.assertEqual(self.nodes[other].propose(change), Accepted(Revision(4)))
            self.assertIn("storage-full", role.failure)
            access = self.nodes[other].client.keepers
            failures = {r.address: r.failure for r in loop.run_coroutine(access.list_keepers())}
            self.assertIn("storage-full", failures[self.addresses[leader]])
        self.wait_until(lambda: not role.failure and role.keeper.configuration.revision == 4)

    def test_news_travels_between_entries_without_keepers(self) -> None:
        """All keepers are down for hours; one entry has a newer configuration than its neighbour.

        The neighbour is notified and pulls it at once, not at its next pull interval.
        """
        first, second = self.start("e1"), self.start("e2")
        configuration = Configuration("fleet")
        configuration.apply(make_change("c1", ObjectKind.PROFILE, "lookups", 0, {}))
        with mock.patch.object(configuration_client, "PULL_INTERVAL_SECONDS", 1_000.0):
            first.client.take(configuration.collect_since(Revision(0)))
            self.wait_until(lambda: second.client.revision() == 1)
            eventlet.sleep(0.3)
            configuration.apply(make_change("c2", ObjectKind.PROFILE, "other", 0, {}))
            first.client.take(configuration.collect_since(Revision(1)))
            self.wait_until(lambda: second.client.revision() == 2, seconds=1.0)

    def test_the_log_is_compacted_between_turns_and_a_late_keeper_takes_the_snapshot(self) -> None:
        """Many changes are made while a keeper is down; the log entries it lacks are compacted.

        It must catch up by the snapshot, and all keepers must restart from their snapshots.
        """
        with mock.patch.object(keeper, "SNAPSHOT_ENTRIES", 6):
            for name in ("k1", "k2", "k3"):
                self.start(name)
            self.make_service(self.nodes["k2"])
            self.stop("k3")
            for number in range(12):
                body = {"ramp_ms": number}
                change = make_change(f"n{number}", ObjectKind.PROFILE, f"p{number}", 0, body)
                self.assertIsInstance(self.nodes["k2"].propose(change), Accepted)
            self.wait_until(lambda: self.get_base("k1") > 6 and self.get_base("k2") > 6)
            self.start("k3")
            self.wait_until(lambda: self.get_base("k3") > 6)
            for name in ("k1", "k2", "k3"):
                self.stop(name)
            for name in ("k1", "k2", "k3"):
                self.start(name)
            self.wait_until(lambda: {n.client.revision() for n in self.nodes.values()} == {15})

    def get_base(self, name: str) -> int:
        role = self.nodes[name].role
        assert role is not None
        return role.keeper.replica.log.base_index

    def test_one_keeper_is_a_fleet_of_its_own(self) -> None:
        self.start("k1", keepers=1)
        self.make_service(self.nodes["k1"])

    def test_without_a_majority_nothing_is_accepted(self) -> None:
        """Two of three keepers are lost; the operator gets the error that no leader answered."""
        for name in ("k1", "k2", "k3"):
            self.start(name)
        self.make_service(self.nodes["k1"])
        self.stop("k1")
        self.stop("k2")
        change = make_change("c9", ObjectKind.PROFILE, "other", 0, {})
        access = self.nodes["k3"].client.keepers
        with self.assertRaises(UsherError) as caught:
            loop.run_coroutine(access.propose(change, timeout=2.5))
        self.assertIs(caught.exception.code, ErrorCode.NO_QUORUM)
        self.assertEqual(self.nodes["k3"].client.revision(), 3)


if __name__ == "__main__":
    unittest.main()
