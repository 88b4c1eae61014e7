"""Tests of which notices a keeper relays to its followers."""

import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_model.identifiers import RequestId, ServerId, ServiceName
from persimmonusher_node.tiers.notice_relay import REPEAT_WINDOW_SECONDS, NoticeRelay
from persimmonusher_node.tiers.notice_wire import decode_notice, encode_notice
from persimmonusher_protocol import control_pb2 as pb

ENTRIES = ServiceName("entries")


def make_notice(request: str, kind: NoticeKind = NoticeKind.FAILED_LATE) -> Notice:
    return Notice(kind, ENTRIES, ServerId("s1"), 7, "", RequestId(request))


class NoticeRelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.relayed: list[Notice] = []
        members = SimpleNamespace(members=())
        log = SimpleNamespace(members=members)
        role = SimpleNamespace(keeper=SimpleNamespace(replica=SimpleNamespace(log=log)))
        clock = SimpleNamespace(monotonic=lambda: self.now)
        self.relay = NoticeRelay(
            cast(Any, role),
            cast(Any, None),
            lambda notices: self.relayed.extend(map(decode_notice, notices)),
            cast(Any, clock),
        )

    def take(self, *notices: Notice) -> None:
        self.relay.relay(pb.NoticeBatch(notices=[encode_notice(item) for item in notices]))

    def test_two_late_failures_within_a_moment_are_told(self) -> None:
        """A server fails all requests late; two entries see it, half a second apart.

        Entries avoid a server only after the second late failure. If that notice were dropped as a
        repetition, all entries but one would go on sending requests there.
        """
        self.take(make_notice("a"))
        self.now += 0.5
        self.take(make_notice("b"), make_notice("c"))
        self.assertEqual([notice.request_id for notice in self.relayed], ["a", "b"])

    def test_a_failing_server_is_told_of_once_a_moment(self) -> None:
        failed = [make_notice(name, NoticeKind.FAILED) for name in "abc"]
        self.take(*failed)
        self.now += REPEAT_WINDOW_SECONDS
        self.take(*failed)
        self.assertEqual([notice.request_id for notice in self.relayed], ["a", "a"])

    def test_an_early_failure_is_news_after_a_late_one(self) -> None:
        self.take(make_notice("a"), make_notice("b", NoticeKind.FAILED))
        self.assertEqual(len(self.relayed), 2)

    # Guards against dropping the second of two changes of a limit within the repeat window.
    def test_a_limit_is_told_whenever_it_changes(self) -> None:
        for rate in (1.0, None, 1.0, 1.0, 0.0, None):
            self.take(replace(make_notice("a", NoticeKind.LIMITED), rate_limit=rate, seconds=0.25))
        self.assertEqual(
            [notice.rate_limit for notice in self.relayed], [1.0, None, 1.0, 0.0, None]
        )
        self.assertEqual(self.relayed[0].seconds, 0.25)

    # Guards against a limit, which is no failure, letting a repeated failure be relayed again.
    def test_a_limit_between_two_failures_does_not_repeat_them(self) -> None:
        failed = make_notice("a", NoticeKind.FAILED)
        limited = replace(make_notice("b", NoticeKind.LIMITED), rate_limit=1.0)
        self.take(failed, limited, failed)
        self.assertEqual(len(self.relayed), 2)

    def test_a_failure_is_news_after_a_recovery(self) -> None:
        """A failing server answers one lookup, and all entries use it again.

        Guards against dropping its next failure, within the repeat window, as a repetition: for
        half a second all entries of a failure domain then sent it requests, and each lost its own.
        """
        failed = make_notice("a", NoticeKind.FAILED)
        recovered = make_notice("b", NoticeKind.RECOVERED)
        for _ in range(2):
            self.take(failed)
            self.take(recovered)
        self.assertEqual([notice.request_id for notice in self.relayed], ["a", "b"] * 2)

    def test_notices_come_out_as_they_went_in(self) -> None:
        crashed = Notice(NoticeKind.CRASHED, ENTRIES, ServerId("s1"), 7, "poison", RequestId("r"))
        recovered = Notice(
            NoticeKind.RECOVERED, ENTRIES, ServerId("s1"), 7, "", RequestId("r"), 0.25
        )
        kinds = (NoticeKind.FAILED, NoticeKind.FAILED_LATE, NoticeKind.UNREACHED)
        for notice in (*(make_notice("r", kind) for kind in kinds), recovered, crashed):
            with self.subTest(notice.kind):
                self.assertEqual(decode_notice(encode_notice(notice)), notice)


if __name__ == "__main__":
    unittest.main()
