import unittest

from persimmonusher_agreement.keeper_members import (
    add_learner,
    form_members,
    plan_promotion,
    remove_keeper,
)
from persimmonusher_agreement.log_messages import KeeperId, Members

FIRST = form_members("fleet", {KeeperId(f"k{n}#a"): f"k{n}" for n in (1, 2, 3)})


def name(*keepers: str) -> set[KeeperId]:
    return {KeeperId(keeper) for keeper in keepers}


def add(members: Members, keeper: str, promote: bool = False) -> Members:
    added = add_learner(members, KeeperId(keeper), "address", promote)
    assert added is not None
    return added


class KeeperMembersTest(unittest.TestCase):
    def test_a_learner_counts_for_no_majority(self) -> None:
        """A repaired keeper is added as a learner and answers before it has caught up.

        If it counted, it and one voter would be a majority that lacks what the other voters hold.
        """
        members = add(FIRST, "k1#b")
        self.assertFalse(members.has_majority(name("k2#a", "k1#b")))
        self.assertTrue(members.has_majority(name("k2#a", "k3#a")))
        self.assertNotIn("k1#b", members.list_voters())

    def test_a_repaired_keeper_replaces_its_lost_disk_in_two_steps(self) -> None:
        members = add(FIRST, "k1#b")
        self.assertIsNone(plan_promotion(members, name("k2#a", "k3#a")))
        caught_up = name("k1#b", "k2#a", "k3#a")
        removed = plan_promotion(members, caught_up)
        assert removed is not None
        self.assertEqual(set(removed.list_voters()), name("k2#a", "k3#a"))
        promoted = plan_promotion(removed, caught_up)
        assert promoted is not None
        self.assertEqual(set(promoted.list_voters()), caught_up)
        self.assertIsNone(plan_promotion(promoted, caught_up))

    def test_a_disk_lost_while_it_joins_starts_anew(self) -> None:
        members = add(add(FIRST, "k1#b"), "k1#c")
        self.assertIsNone(members.find(KeeperId("k1#b")))
        self.assertIsNone(add_learner(members, KeeperId("k1#c"), "address", False))

    def test_a_stranger_stays_a_learner_unless_it_is_to_be_a_keeper(self) -> None:
        for promote in (False, True):
            members = add(FIRST, "k9#a", promote)
            planned = plan_promotion(members, name("k9#a"))
            self.assertEqual(planned is not None, promote)

    def test_the_last_voter_and_strangers_are_not_removed(self) -> None:
        alone = form_members("fleet", {KeeperId("k1#a"): "k1"})
        self.assertIsNone(remove_keeper(alone, KeeperId("k1#a")))
        self.assertIsNone(remove_keeper(FIRST, KeeperId("k1#z")))


if __name__ == "__main__":
    unittest.main()

    def test_a_silent_voter_is_replaced_only_by_a_learner_that_stands_ready(self) -> None:
        """A keeper's machine is removed for good, and a new keeper asks to become a voter.

        The new one must replace it without an operator. But a voter that is merely frozen, without
        a keeper to replace it, must stay: without it there would be fewer copies.
        """
        lost = name("k3#a")
        caught_up = name("k1#a", "k2#a", "k9#a")
        self.assertIsNone(plan_promotion(FIRST, caught_up, lost, wanted=3))
        members = add(FIRST, "k9#a", promote=True)
        self.assertIsNone(plan_promotion(members, name("k1#a", "k2#a"), lost, wanted=3))
        self.assertIsNone(plan_promotion(members, caught_up, name(), wanted=3))
        removed = plan_promotion(members, caught_up, lost, wanted=3)
        assert removed is not None
        self.assertEqual(set(removed.list_voters()), name("k1#a", "k2#a"))
        promoted = plan_promotion(removed, caught_up, lost, wanted=3)
        assert promoted is not None
        self.assertEqual(set(promoted.list_voters()), caught_up)

    def test_learners_are_promoted_up_to_the_voters_wanted(self) -> None:
        members = add(add(FIRST, "k8#a", promote=True), "k9#a", promote=True)
        ready = name("k8#a", "k9#a")
        for wanted, voters in ((3, 3), (4, 4), (5, 5)):
            with self.subTest(wanted):
                current = members
                while (step := plan_promotion(current, ready, name(), wanted)) is not None:
                    current = step
                self.assertEqual(len(current.list_voters()), voters)
