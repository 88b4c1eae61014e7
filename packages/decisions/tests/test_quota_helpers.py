"""The choice of entries that forward requests for quota, and the limit on what they forward."""

import unittest
from random import Random

from persimmonusher_decisions.quota_paths import (
    MAX_FORWARDED_PER_SECOND,
    PROBE_BURST,
    PROBES_PER_SECOND,
    UNSUPPORTED_SECONDS,
    ForwardLimit,
    HelperSearch,
)


def probe_all(search: HelperSearch, peers: list[str], now: float) -> list[str]:
    """Begin a round and return the entries that are asked in it."""
    search.begin(peers, now)
    asked = []
    while (peer := search.next_probe(now)) is not None:
        asked.append(peer)
    return asked


class QuotaHelpersTest(unittest.TestCase):
    # Load: two minutes in which none of 200 known entries reaches a keeper.
    # Guards against a fleet that is kept busy by questions that nobody can answer.
    def test_questions_are_limited_while_nobody_helps(self) -> None:
        search = HelperSearch("e0", Random(1))
        peers = [f"e{number}" for number in range(200)]
        asked = sum(len(probe_all(search, peers, 0.25 * step)) for step in range(4 * 120))
        self.assertLessEqual(asked, PROBE_BURST + PROBES_PER_SECOND * 120)

    # Load: any.
    # Guards against questions that a previous version answers with an error, again and again.
    def test_an_entry_of_a_previous_version_is_not_asked_again_soon(self) -> None:
        search = HelperSearch("e0", Random(1))
        self.assertEqual(probe_all(search, ["e0", "e1"], 0.0), ["e1"])
        search.record_unsupported("e1", 0.0)
        self.assertEqual(probe_all(search, ["e1"], UNSUPPORTED_SECONDS - 1.0), [])
        self.assertEqual(probe_all(search, ["e1"], UNSUPPORTED_SECONDS + 1.0), ["e1"])

    # Load: within the quota, after a keeper was reached again and lost again.
    # Guards against a helper of an earlier loss that is used though it may have lost the keepers.
    def test_helpers_are_forgotten_when_a_keeper_is_reached(self) -> None:
        search = HelperSearch("e0", Random(1))
        search.record_able("e1", 0.0)
        self.assertEqual(search.find_helper(set(), 0.0), "e1")
        search.end()
        self.assertIsNone(search.find_helper(set(), 0.0))

    # Load: 1,000 calls a second from other entries for 4 s.
    # Guards against a helper that has no time left for its own callers.
    def test_a_helper_forwards_a_limited_number_of_calls(self) -> None:
        limit = ForwardLimit(0.0)
        forwarded = 0
        for step in range(4000):
            if limit.try_acquire(step / 1000.0):
                forwarded += 1
                limit.release()
        self.assertLessEqual(forwarded, 4.25 * MAX_FORWARDED_PER_SECOND)
        self.assertGreaterEqual(forwarded, 0.9 * 4 * MAX_FORWARDED_PER_SECOND)
        self.assertFalse(limit.has_room(4.0))


if __name__ == "__main__":
    unittest.main()
