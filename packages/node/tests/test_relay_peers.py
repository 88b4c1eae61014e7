from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402
from random import Random  # noqa: E402
from typing import Any, cast  # noqa: E402
from unittest.mock import patch  # noqa: E402

import eventlet  # noqa: E402

from persimmonusher_decisions.relay_choice import RelayChoice, RelayPeer  # noqa: E402
from persimmonusher_model.identifiers import FailureDomain  # noqa: E402
from persimmonusher_node.tiers import relay_peers  # noqa: E402
from persimmonusher_node.tiers.relay_peers import RelayPeers  # noqa: E402

FIRST_SECONDS = 0.05


class ScriptedPeers(RelayPeers):
    """Gets its answers from `named`, by keeper."""

    named: dict[str, list[RelayPeer]]
    asked = 0

    async def _ask(self, keeper: str) -> list[RelayPeer]:
        self.asked += 1
        return self.named[keeper]


class RelayPeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.choice = RelayChoice(FailureDomain("da"), Random(1))
        self.peers = ScriptedPeers(
            "10.0.0.1:1", self.choice, lambda: ["k1", "k2"], cast("Any", None), Random(1)
        )
        self.peers.named = {"k1": [], "k2": []}
        quick = patch.object(relay_peers, "FIRST_REFRESH_SECONDS", FIRST_SECONDS)
        quick.start()
        self.addCleanup(quick.stop)
        self.peers.start()
        self.addCleanup(self.peers.stop)

    def list_known(self) -> set[str]:
        return {peer.address for peer in self.choice.order(0.0)}

    # Guards against entries that start together and know only the first of the others.
    def test_entries_that_come_later_are_learned_soon_after_a_start(self) -> None:
        self.peers.named["k1"] = [RelayPeer("10.0.0.2:1", FailureDomain("da"))]
        eventlet.sleep(2 * FIRST_SECONDS)
        self.assertEqual(self.list_known(), {"10.0.0.2:1"})
        self.peers.named["k2"] = [RelayPeer(f"10.0.0.{n}:1", FailureDomain("db")) for n in (1, 3)]
        eventlet.sleep(8 * FIRST_SECONDS)
        self.assertEqual(self.list_known(), {"10.0.0.2:1", "10.0.0.3:1"})

    # Guards against an old list of entries that are all gone.
    def test_others_are_asked_for_when_none_of_the_known_can_help(self) -> None:
        eventlet.sleep(40 * FIRST_SECONDS)
        asked = self.peers.asked
        self.peers.refresh_soon()
        eventlet.sleep(2 * FIRST_SECONDS)
        self.assertGreater(self.peers.asked, asked)


if __name__ == "__main__":
    unittest.main()
