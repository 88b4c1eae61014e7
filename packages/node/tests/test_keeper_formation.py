import unittest

from persimmonusher_agreement.keeper_members import form_members
from persimmonusher_agreement.log_messages import KeeperId
from persimmonusher_node.keeper_calls import KeeperReport, decode_report
from persimmonusher_node.keeper_formation import Step, plan_formation
from persimmonusher_node.keeper_wire import encode_members
from persimmonusher_node.settings import Keeper
from persimmonusher_protocol import keeper_pb2 as pb

KEEPERS = [Keeper(instance_id=f"k{n}", address=f"127.0.0.1:700{n}") for n in (1, 2, 3)]
FORMED = form_members("fleet", {KeeperId(f"k{n}#a"): f"127.0.0.1:700{n}" for n in (1, 2, 3)})


def empty(number: int, disk: str = "a", first: str = "k1") -> KeeperReport:
    state = pb.KeeperState(keeper=f"k{number}#{disk}", empty=True, first_keeper=first)
    return decode_report(f"127.0.0.1:700{number}", state)


def formed(number: int) -> KeeperReport:
    state = pb.KeeperState(keeper=f"k{number}#a", members=encode_members(FORMED))
    return decode_report(f"127.0.0.1:700{number}", state)


def gone(number: int) -> KeeperReport:
    return KeeperReport.unreachable(f"127.0.0.1:700{number}", "refused")


class FormationTest(unittest.TestCase):
    def test_a_log_is_formed_once_and_by_one(self) -> None:
        """A repaired keeper comes back empty while others are down or haven't started yet.

        If it took this for the first start of the fleet, it would form a second, empty log, and the
        changes accepted in the first would be lost.
        """
        cases = [
            ("all empty", "k1#a", [empty(1), empty(2), empty(3)], 0, Step.FORM),
            ("not the first", "k2#a", [empty(1), empty(2), empty(3)], 0, Step.WAIT),
            ("one is away", "k1#a", [empty(1), empty(2), gone(3)], 0, Step.WAIT),
            ("entries know more", "k1#a", [empty(1), empty(2), empty(3)], 5, Step.WAIT),
            ("another first", "k1#a", [empty(1), empty(2, first="k2"), empty(3)], 0, Step.WAIT),
            ("repaired", "k1#b", [empty(1, "b"), formed(2), formed(3)], 9, Step.JOIN),
            ("repaired, rest away", "k1#b", [empty(1, "b"), gone(2), gone(3)], 0, Step.WAIT),
            ("repaired, one away", "k1#b", [empty(1, "b"), formed(2), gone(3)], 0, Step.JOIN),
            ("a member already", "k2#a", [formed(1), empty(2), empty(3)], 0, Step.WAIT),
            ("newly listed", "k4#a", [formed(1), formed(2), formed(3)], 0, Step.JOIN),
        ]
        for name, own, reports, revision, step in cases:
            with self.subTest(name):
                formation = plan_formation(KeeperId(own), KEEPERS, reports, revision)
                self.assertIs(formation.step, step)
                self.assertEqual(formation.members is not None, step is Step.FORM)
                self.assertEqual(bool(formation.addresses), step is Step.JOIN)


if __name__ == "__main__":
    unittest.main()
