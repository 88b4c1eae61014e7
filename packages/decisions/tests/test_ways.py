"""The ways to servers, without sockets: what is concluded from which openings."""

import unittest
from random import Random

from persimmonusher_decisions.relay_choice import MAX_TRIES, RelayChoice, RelayPeer
from persimmonusher_decisions.ways import (
    DOWN_MEMORY_SECONDS,
    PROBE_INTERVAL_SECONDS,
    UNHELPED_SECONDS,
    UNUSED_SECONDS,
    Verdict,
    WayPlan,
    Ways,
)
from persimmonusher_model.identifiers import FailureDomain

DIRECT_FIRST = WayPlan(True, True)
RELAYED_ONLY = WayPlan(False, True)
NO_WAY = WayPlan(False, False)


class WaysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ways = Ways()

    def lose(self, *addresses: str, now: float = 10.0) -> None:
        for address in addresses:
            self.ways.record_failed(address, Verdict.LOST, now)

    def test_a_server_that_others_reach_is_used_through_them(self) -> None:
        self.assertEqual(self.ways.plan("a", 9.0), DIRECT_FIRST)
        self.lose("a")
        self.assertEqual(self.ways.plan("a", 10.1), RELAYED_ONLY)
        self.assertEqual(self.ways.plan("b", 10.1), DIRECT_FIRST)

    # Guards against a server that is down and costs a search among other instances each time.
    def test_a_server_that_others_do_not_reach_is_not_looked_for_again_at_once(self) -> None:
        self.ways.record_failed("a", Verdict.DOWN, 10.0)
        self.assertEqual(self.ways.plan("a", 10.1), WayPlan(True, False))
        self.assertEqual(self.ways.plan("a", 10.1 + DOWN_MEMORY_SECONDS), DIRECT_FIRST)

    # Guards against servers of one service that are all down and taken for a cut of the own links.
    def test_servers_that_are_down_do_not_make_the_instance_cut_off(self) -> None:
        for address in "abcd":
            self.ways.record_failed(address, Verdict.DOWN, 10.0)
        self.assertFalse(self.ways.is_cut_off)

    def test_no_server_is_tried_directly_once_two_are_lost_and_none_is_reached(self) -> None:
        self.lose("a", "b")
        self.assertTrue(self.ways.is_cut_off)
        self.assertEqual(self.ways.plan("c", 10.1), RELAYED_ONLY)

    # Guards against servers of one domain that are lost and taken for a cut from all of them.
    def test_an_instance_that_reaches_another_server_is_not_cut_off(self) -> None:
        self.lose("a")
        self.ways.record_opened("c", 10.1)
        self.lose("b", now=10.2)
        self.assertFalse(self.ways.is_cut_off)

    def test_a_probe_that_opens_a_connection_ends_the_cut(self) -> None:
        self.lose("a", "b")
        due = self.ways.list_due_probes(10.0 + PROBE_INTERVAL_SECONDS)
        self.assertEqual(due, ["a", "b"])
        self.ways.record_opened("a", 11.0)
        self.assertFalse(self.ways.is_cut_off)
        self.assertEqual(self.ways.plan("a", 11.0), DIRECT_FIRST)
        self.assertEqual(self.ways.plan("b", 11.0), RELAYED_ONLY)

    def test_probes_are_repeated_at_intervals_and_not_for_unused_servers(self) -> None:
        self.lose("a")
        first = 10.0 + PROBE_INTERVAL_SECONDS
        self.assertEqual(self.ways.list_due_probes(first), ["a"])
        self.assertEqual(self.ways.list_due_probes(first + 0.1), [])
        self.assertEqual(self.ways.list_due_probes(first + PROBE_INTERVAL_SECONDS), ["a"])
        self.assertEqual(self.ways.list_due_probes(11.0 + UNUSED_SECONDS), [])

    # Guards against an idle instance that counts as cut off for ever and relays for no other.
    def test_an_instance_without_requests_does_not_stay_cut_off(self) -> None:
        self.lose("a", "b")
        self.ways.list_due_probes(11.0 + UNUSED_SECONDS)
        self.assertFalse(self.ways.is_cut_off)
        self.assertEqual(self.ways.plan("c", 50.0), DIRECT_FIRST)

    # Guards against requests that are held though no way to a server is known.
    def test_a_cut_off_instance_without_help_has_no_way_for_a_moment(self) -> None:
        for address in "ab":
            self.ways.record_failed(address, Verdict.UNKNOWN, 10.0)
        self.ways.record_unhelped(10.0)
        self.assertEqual(self.ways.plan("c", 10.1), NO_WAY)
        self.assertEqual(self.ways.plan("c", 10.1 + UNHELPED_SECONDS), RELAYED_ONLY)

    # Guards against counting a request against its server that times out after the cut has ended.
    def test_a_loss_is_remembered_after_the_way_has_come_back(self) -> None:
        self.lose("a", now=10.0)
        self.ways.record_opened("a", 12.0)
        self.assertTrue(self.ways.was_lost_since("a", 9.0))
        self.assertFalse(self.ways.was_lost_since("a", 11.0))
        self.assertFalse(self.ways.was_lost_since("b", 9.0))


class RelayChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.choice = RelayChoice(FailureDomain("da"), Random(1))
        self.near = [RelayPeer(f"10.0.0.{n}:1", FailureDomain("da")) for n in range(6)]
        self.far = [RelayPeer(f"10.0.1.{n}:1", FailureDomain("db")) for n in range(6)]
        self.choice.replace([*self.near, *self.far])

    def test_the_load_is_spread_over_all_while_none_fails(self) -> None:
        first = {self.choice.order(10.0)[0] for _ in range(200)}
        self.assertEqual(len(first), 12)

    # Guards against a cut of a whole domain, in which most instances that are asked can't help.
    def test_those_that_helped_are_asked_first_once_others_have_failed(self) -> None:
        for peer in self.near:
            self.choice.record_failed(peer, 10.0)
        self.choice.record_helped(self.far[0], 10.0)
        firsts = [self.choice.order(10.1)[0] for _ in range(100)]
        self.assertGreater(firsts.count(self.far[0]), 80)
        self.assertFalse(set(firsts) & set(self.near))

    # Guards against one slow search that makes a cut off instance refuse all requests for a while.
    def test_instances_that_helped_a_moment_ago_are_not_given_up(self) -> None:
        self.assertFalse(self.choice.has_helped_lately(10.0))
        self.choice.record_helped(self.near[0], 10.0)
        self.choice.record_failed(self.near[1], 10.5)
        self.assertTrue(self.choice.has_helped_lately(11.0))
        self.assertFalse(self.choice.has_helped_lately(13.0))

    def test_all_are_asked_again_if_all_have_failed(self) -> None:
        for peer in (*self.near, *self.far):
            self.choice.record_failed(peer, 10.0)
        self.assertEqual(len(self.choice.order(10.1)), MAX_TRIES)


if __name__ == "__main__":
    unittest.main()
