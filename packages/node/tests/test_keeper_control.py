"""Tests that a keeper acknowledges nothing while it lacks what other keepers acknowledged."""

from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from typing import Any, cast  # noqa: E402

from persimmonusher_model.errors import ErrorCode, UsherError  # noqa: E402
from persimmonusher_model.identifiers import Revision  # noqa: E402
from persimmonusher_node.settings import Settings  # noqa: E402
from persimmonusher_node.tiers.keeper_control import KeeperControl  # noqa: E402

HELD = Revision(6)


@dataclass
class ScriptedLeader:
    """Confirms a set revision as the last accepted one."""

    revision: Revision

    async def confirm(self, timeout: float) -> Revision:
        return self.revision


class DeregistrationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leader = ScriptedLeader(HELD)
        view = SimpleNamespace(find_record=lambda key: None, revision=lambda: HELD)
        replica = SimpleNamespace(find_majority_age=lambda now: 0.2)
        role = SimpleNamespace(keeper=SimpleNamespace(replica=replica))
        parts: tuple[Any, ...] = (role, view, self.leader, None)
        self.control = KeeperControl(cast("Settings", None), *parts)

    def test_the_end_of_a_server_that_nobody_knows_is_acknowledged(self) -> None:
        self.control.deregister("s1", None)

    # Guards against acknowledging the end of a server whose registration hasn't arrived here yet.
    def test_the_end_of_a_server_that_others_may_know_is_not_acknowledged(self) -> None:
        self.leader.revision = Revision(HELD + 1)
        with self.assertRaises(UsherError) as caught:
            self.control.deregister("s1", None)
        self.assertIs(caught.exception.code, ErrorCode.UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
