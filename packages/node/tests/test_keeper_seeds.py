import unittest

from persimmonusher_agreement.keeper_members import form_members
from persimmonusher_agreement.log_messages import KeeperId
from persimmonusher_node.keeper_calls import KeeperReport, decode_report
from persimmonusher_node.keeper_formation import Candidate, Formation, Step
from persimmonusher_node.keeper_seeds import GATHER_TIMEOUT_SECONDS, SeededFormation
from persimmonusher_node.keeper_wire import encode_members
from persimmonusher_protocol import keeper_pb2 as pb

SEEDS = [f"10.0.0.{number}:70" for number in (1, 2, 3)]
MEMBERS = form_members("fleet", {KeeperId(f"k{n}#a"): SEEDS[n - 1] for n in (1, 2, 3)})


def empty(number: int) -> KeeperReport:
    state = pb.KeeperState(keeper=f"k{number}#a", empty=True)
    return decode_report(SEEDS[number - 1], state)


def formed(number: int, leader: str = "k1#a") -> KeeperReport:
    state = pb.KeeperState(
        keeper=f"k{number}#a", members=encode_members(MEMBERS), leader=leader, term=3
    )
    return decode_report(SEEDS[number - 1], state)


def gone(number: int) -> KeeperReport:
    return KeeperReport.unreachable(SEEDS[number - 1], "refused")


class SeededFormationTest(unittest.TestCase):
    def make(self, own: int = 1, bootstrap: bool = True, wanted: int = 5) -> SeededFormation:
        address = SEEDS[own - 1] if own <= 3 else f"10.0.0.{own}:70"
        return SeededFormation(SEEDS, address, wanted, bootstrap, "south")

    def plan(
        self, formation: SeededFormation, own: str, reports: list[KeeperReport], now: float = 0.0
    ) -> Formation:
        return formation.plan(KeeperId(own), reports, 0, now)

    def test_a_log_is_formed_once_and_by_one(self) -> None:
        """A keeper that lost its disk comes back while the others are down or just starting.

        If it took this for the first start, it would form a second, empty log, and the changes
        acknowledged in the first would be lost.
        """
        all_empty = [empty(1), empty(2), empty(3)]
        cases = [
            ("not the first seed", 2, True, all_empty, Step.JOIN),
            ("lost its disk", 1, False, all_empty, Step.JOIN),
            ("a seed is away", 1, True, [empty(1), empty(2), gone(3)], Step.WAIT),
            ("a seed holds a log", 1, True, [empty(1), formed(2), gone(3)], Step.WAIT),
        ]
        for name, own, bootstrap, reports, step in cases:
            with self.subTest(name):
                formation = self.make(own, bootstrap)
                self.assertIs(self.plan(formation, f"k{own}#a", reports).step, step)

    def test_the_first_log_has_as_many_voters_as_are_wanted(self) -> None:
        """Five keepers start together, and each knows only three seeds.

        A log formed by the seeds alone would lack two copies of the first changes, and two lost
        disks could lose them.
        """
        formation = self.make()
        reports = [empty(1), empty(2), empty(3)]
        self.assertIs(self.plan(formation, "k1#a", reports).step, Step.WAIT)
        for number in (4, 5, 6):
            candidate = Candidate(KeeperId(f"k{number}#a"), f"10.0.0.{number}:70", "north")
            formation.note_candidate(candidate, 0.5)
        formed_now = self.plan(formation, "k1#a", reports, 1.0)
        self.assertIs(formed_now.step, Step.FORM)
        assert formed_now.members is not None
        voters = formed_now.members.list_voters()
        self.assertEqual(voters, ("k1#a", "k2#a", "k3#a", "k4#a", "k5#a"))
        domains = [member.failure_domain for member in formed_now.members.members]
        self.assertEqual((domains[0], domains[3]), ("south", "north"))

    def test_with_fewer_keepers_the_log_is_formed_after_a_while(self) -> None:
        formation = self.make()
        reports = [empty(1), empty(2), empty(3)]
        self.assertIs(self.plan(formation, "k1#a", reports, 0.0).step, Step.WAIT)
        late = self.plan(formation, "k1#a", reports, GATHER_TIMEOUT_SECONDS + 0.1)
        self.assertIs(late.step, Step.FORM)
        assert late.members is not None
        self.assertEqual(len(late.members.list_voters()), 3)

    def test_a_keeper_that_was_replaced_asks_for_a_place_again(self) -> None:
        """A voter is frozen for so long that another keeper replaces it, and then resumes.

        Nobody writes to it any more, and its own log still names it a voter.
        """
        formation = self.make(own=4)
        reports = [formed(1), formed(2), gone(3)]
        planned = self.plan(formation, "k4#a", reports)
        self.assertIs(planned.step, Step.JOIN)
        self.assertEqual(planned.addresses, tuple(SEEDS))
        self.assertIs(self.plan(formation, "k2#a", reports).step, Step.WAIT)
