"""Each check of the demo must fail for a run that breaks its promise."""

import unittest
from collections.abc import Sequence

from persimmonusher_lab.ledger import LedgerRecord, Phase
from persimmonusher_lab.load import Told, Try, judge_answer
from persimmonusher_lab.promises import (
    check_at_most_once,
    check_drain,
    check_graceful_stop,
    check_not_lost,
    check_not_run,
    check_whole_answers,
    find_detection_seconds,
)
from persimmonusher_lab.watch import FleetWatch, Observations, check_floor, check_no_revert
from persimmonusher_protocol import operator_pb2 as pb


def make_try(
    token: str, told: Told, number: int = 1, at: float = 0.0, is_entry: bool = True
) -> Try:
    return Try(at, at + 0.1, token, number, is_entry, "e1", f"{token}-{number}", told, 200, "s", "")


def make_record(
    token: str, phase: Phase, number: int = 1, at: float = 0.0, server: str = "s"
) -> LedgerRecord:
    return LedgerRecord(at, server, phase, "POST", "/entries", f"{token}-{number}", token)


BEGUN = make_record("a", Phase.BEGUN)
DONE = make_record("a", Phase.DONE)


class PromiseTest(unittest.TestCase):
    def test_at_most_once(self) -> None:
        again = make_record("a", Phase.BEGUN, 2)
        cases: tuple[tuple[Sequence[LedgerRecord], bool], ...] = (
            ([BEGUN, DONE], True),
            ([BEGUN, again], False),
            ([make_record("b", Phase.BEGUN), make_record("b", Phase.BEGUN), BEGUN], True),
        )
        for records, held in cases:
            with self.subTest(records=records):
                result = check_at_most_once([make_try("a", Told.RAN)], records)
                self.assertIs(result.held, held)

    def test_not_lost(self) -> None:
        told = [make_try("a", Told.RAN)]
        self.assertTrue(check_not_lost(told, [BEGUN, DONE]).held)
        self.assertFalse(check_not_lost(told, [BEGUN]).held)
        self.assertTrue(check_not_lost([make_try("a", Told.UNKNOWN)], []).held)

    def test_not_run_is_true(self) -> None:
        told = [make_try("a", Told.NOT_RUN), make_try("a", Told.RAN, 2)]
        second = make_record("a", Phase.BEGUN, 2)
        self.assertTrue(check_not_run(told, [second]).held)
        self.assertFalse(check_not_run(told, [BEGUN, second]).held)
        refused = make_record("a", Phase.REFUSED)
        self.assertTrue(check_not_run(told, [refused, second]).held)

    def test_whole_answers(self) -> None:
        self.assertTrue(check_whole_answers([make_try("a", Told.RAN)]).held)
        self.assertFalse(check_whole_answers([make_try("a", Told.WRONG)]).held)

    def test_drain_counts_refused_work_too(self) -> None:
        late = make_record("a", Phase.REFUSED, at=9.0)
        self.assertTrue(check_drain([BEGUN, late], "s", 5.0, 5.0).held)
        self.assertFalse(check_drain([BEGUN, late], "s", 5.0, 3.0).held)

    def test_graceful_stop(self) -> None:
        cut = make_try("a", Told.NO_ANSWER, at=6.0)
        self.assertFalse(check_graceful_stop([cut], [BEGUN], "e1", 5.0, 0).held)
        self.assertTrue(check_graceful_stop([cut], [], "e1", 5.0, 0).held)
        self.assertFalse(check_graceful_stop([], [], "e1", 5.0, None).held)

    def test_detection_time_is_the_last_work_before_the_share_fell(self) -> None:
        records = [
            make_record(f"{server}{tick}", Phase.BEGUN, at=tick / 10, server=server)
            for tick in range(40)
            for server in ("gray", "p1", "p2")
            if server != "gray" or tick <= 12
        ]
        found = find_detection_seconds(records, "gray", ["p1", "p2"], 0.0)
        self.assertAlmostEqual(found or 0.0, 1.2)
        lull = [record for record in records if not (record.server == "gray" and record.at < 0.5)]
        found = find_detection_seconds(lull, "gray", ["p1", "p2"], 0.0)
        self.assertAlmostEqual(found or 0.0, 1.2, msg="half a second without work is no detection")
        every = [make_record("g", Phase.BEGUN, at=t / 10, server="gray") for t in range(40)]
        self.assertIsNone(find_detection_seconds(records + every, "gray", ["p1", "p2"], 0.0))

    def test_judges_answers(self) -> None:
        whole = b'{"token": "t", "server": "s", "whole": true}'
        cases = (
            (200, "ran", whole, Told.RAN),
            (200, "ran", whole[:20], Told.WRONG),
            (200, "ran", whole.replace(b'"t"', b'"u"'), Told.WRONG),
            (503, "not-run", b'{"code": "overload"}', Told.NOT_RUN),
            (502, "unknown", b"{}", Told.UNKNOWN),
            (500, "ran", b"{}", Told.FAILED),
        )
        for status, outcome, body, told in cases:
            with self.subTest(told=told):
                self.assertIs(judge_answer(status, outcome, body, "t")[0], told)


class WatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.watch = FleetWatch(lambda: self.fail("no calls"), {"shows": 60})
        self.seen: Observations = self.watch.observations
        self.seen.samples = 1

    def record_servers(self, taking: int, of: int) -> None:
        servers = []
        for number in range(of):
            view = pb.ServerView(
                instance_id="i1", taking_work=number < taking, state="ready", reason="ejected"
            )
            servers.append(
                pb.ServerEntry(server_id=f"s{number}", service="shows", state="ready", views=[view])
            )
        self.watch.record_servers(pb.ServerList(servers=servers), 1.0)

    def test_floor(self) -> None:
        self.record_servers(3, 5)
        self.assertTrue(check_floor(self.seen).held)
        self.assertEqual(len(self.seen.exclusions), 2)
        self.record_servers(2, 5)
        self.assertFalse(check_floor(self.seen).held)

    def test_revert(self) -> None:
        for revision, held in ((3, True), (3, True), (5, True), (4, False)):
            status = pb.InstanceStatus(instance_id="i1", revision=revision, answered=True)
            self.watch.record_instances(pb.InstanceList(instances=[status]), 1.0)
            self.assertIs(check_no_revert(self.seen).held, held)


if __name__ == "__main__":
    unittest.main()
