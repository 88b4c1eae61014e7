"""Organisations' quotas in fleets whose entries lose the keepers, on virtual time.

To run other seeds, set `QUOTA_PATHS_SEEDS="0 1000"` in the environment, the first and the end.
"""

import asyncio
import os
import unittest
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

from structlog.testing import capture_logs
from virtual_loop import LoopClock, VirtualLoop
from virtual_quotas import Outcome, VirtualQuotas

from persimmonusher_model.organisations import RequestQuota
from persimmonusher_node.ports import QuotaVerdict

SEEDS = range(*map(int, os.environ.get("QUOTA_PATHS_SEEDS", "0 60").split()))
CUT_AT: Final = 4.0
CUT_SECONDS: Final = 14.0
END: Final = 21.0
ENTRIES: Final = 93
KEEPERS: Final = 5
QUOTA: Final = RequestQuota(57, 57)
SERIES_QUOTAS: Final = (RequestQuota(5, 5), RequestQuota(12, 12), RequestQuota(25, 25))
SERIES_END: Final = 15.0


def play(
    quota: RequestQuota,
    keepers: int,
    seed: int,
    script: Callable[[VirtualQuotas], Coroutine[Any, Any, None]],
) -> VirtualQuotas:
    """Let a script act on a fleet without entries, and return the fleet."""
    loop = VirtualLoop()
    fleet = VirtualQuotas(quota, keepers, LoopClock(loop), Random(seed))

    async def run() -> None:
        await script(fleet)
        for entry in fleet.entries.values():
            entry.router.stop()
        await asyncio.sleep(1.0)

    with capture_logs():
        loop.run(run())
    return fleet


async def draw_fault(fleet: VirtualQuotas, at: float) -> None:
    """Let one fault begin at a time, and end some seconds later."""
    random = fleet.random
    kind = random.choice(("cut", "cut", "cut-all", "keeper", "kill", "freeze", "lower", "enter"))
    seconds = random.uniform(1.0, 10.0)
    await asyncio.sleep(at)
    if kind in ("cut", "cut-all"):
        chosen = fleet.cut(0.8 if kind == "cut" else 1.0)
        await asyncio.sleep(seconds)
        fleet.join(chosen)
    elif kind == "keeper":
        number = random.randrange(len(fleet.keepers))
        fleet.down.add(number)
        await asyncio.sleep(min(3.0, seconds))
        fleet.restart_keeper(number)
    elif kind == "lower":
        fleet.set_quota(random.choice(SERIES_QUOTAS))
    elif kind == "enter":
        fleet.add_entry()
    else:
        entry = random.choice([*fleet.entries.values()][1:])
        entry.is_killed = entry.is_killed or kind == "kill"
        entry.is_frozen = kind == "freeze"
        await asyncio.sleep(seconds)
        entry.is_frozen = False


async def play_series(fleet: VirtualQuotas) -> None:
    """Play faults that overlap, with more requests than the quota allows."""
    for _ in range(fleet.random.randint(6, 14)):
        fleet.add_entry().is_old = fleet.random.random() < 0.1
    fleet.name_others(4)
    faults = [draw_fault(fleet, fleet.random.uniform(2.0, 9.0)) for _ in range(5)]
    demand = fleet.quota.per_second * fleet.random.uniform(1.2, 1.7)
    await asyncio.gather(fleet.send_requests(demand, SERIES_END), *faults)


class QuotaPathsTest(unittest.TestCase):
    def play_cut(
        self,
        share: float,
        demand: float,
        seed: int,
        quota: RequestQuota = QUOTA,
        entries: int = ENTRIES,
    ) -> VirtualQuotas:
        """Cut a share of the entries off from all keepers for 14 s, with steady demand."""

        async def script(fleet: VirtualQuotas) -> None:
            for _ in range(entries):
                fleet.add_entry()
            fleet.name_others(24)
            sending = asyncio.ensure_future(fleet.send_requests(demand * quota.per_second, END))
            await asyncio.sleep(CUT_AT)
            chosen = fleet.cut(share)
            await asyncio.sleep(CUT_SECONDS)
            fleet.join(chosen)
            await sending

        return play(quota, KEEPERS, seed, script)

    def list_outcomes(self, fleet: VirtualQuotas, begin: float, end: float) -> list[Outcome]:
        return [outcome for outcome in fleet.outcomes if begin <= outcome.came < end]

    def count_served(self, outcomes: list[Outcome]) -> int:
        return sum(outcome.verdict is QuotaVerdict.GRANTED for outcome in outcomes)

    # Load: 0.8 and 2 times the quota, even over 93 entries of which 84 are cut off.
    # Guards against refusals at entries that reach others which reach a keeper.
    def test_cut_off_entries_serve_what_the_quota_allows(self) -> None:
        for demand, seed in ((0.8, 1), (2.0, 2)):
            with self.subTest(demand=demand, seed=seed):
                fleet = self.play_cut(0.9, demand, seed)
                begin, end = CUT_AT + 1.0, CUT_AT + CUT_SECONDS
                outcomes = self.list_outcomes(fleet, begin, end)
                allowed = min(len(outcomes), QUOTA.per_second * (end - begin))
                self.assertGreaterEqual(self.count_served(outcomes), 0.95 * allowed)
                self.assertEqual(fleet.find_excess(), 0.0)

    # Load: 0.8 of the quota, even over entries of which all that followed four of five keepers are
    # cut off; each knows the entries of its own keeper and two others.
    # Guards against a search that ends where none of the known entries can help.
    def test_helpers_of_another_keeper_are_found_through_others(self) -> None:
        async def script(fleet: VirtualQuotas) -> None:
            for _ in range(ENTRIES):
                fleet.add_entry()
            fleet.name_others(2)
            sending = asyncio.ensure_future(fleet.send_requests(0.8 * QUOTA.per_second, 12.0))
            await asyncio.sleep(CUT_AT)
            for number, entry in enumerate(fleet.entries.values()):
                entry.is_cut = entry.domain != 0 or number >= 9 * KEEPERS
            await sending

        outcomes = self.list_outcomes(play(QUOTA, KEEPERS, 7, script), CUT_AT + 1.0, 12.0)
        self.assertGreaterEqual(self.count_served(outcomes), 0.95 * len(outcomes))

    # Load: within the quota, with all entries cut off.
    # Guards against requests that wait for keepers and helpers of which none answers.
    def test_refusals_are_quick_where_nobody_helps(self) -> None:
        fleet = self.play_cut(1.0, 0.8, 1, entries=30)
        late = self.list_outcomes(fleet, CUT_AT + 1.5, CUT_AT + CUT_SECONDS)
        refused = [one for one in late if one.verdict is not QuotaVerdict.GRANTED]
        self.assertGreater(len(refused), 0.9 * len(late))
        self.assertLessEqual(max(one.ended - one.came for one in refused), 0.05)
        back = self.list_outcomes(fleet, CUT_AT + CUT_SECONDS + 1.0, END)
        self.assertGreaterEqual(self.count_served(back), 0.95 * len(back))
        probes = sum(entry.probed for entry in fleet.entries.values()) / 30
        self.assertLess(probes, 48 + 9 * CUT_SECONDS)

    # Load: within the quota, with three helpers of which two are killed or frozen in turn.
    # Guards against requests that are lost with a helper.
    def test_the_next_helper_is_used_when_one_is_lost(self) -> None:
        for fault in ("is_killed", "is_frozen", "is_cut"):
            with self.subTest(fault=fault):

                async def script(fleet: VirtualQuotas, fault: str = fault) -> None:
                    for _ in range(12):
                        fleet.add_entry()
                    fleet.name_others(6)
                    sending = asyncio.ensure_future(fleet.send_requests(40.0, END))
                    await asyncio.sleep(CUT_AT)
                    fleet.cut(0.75)
                    helpers = [one for one in fleet.entries.values() if not one.is_cut]
                    for helper in helpers[:2]:
                        await asyncio.sleep(4.0)
                        setattr(helper, fault, True)
                    await sending

                fleet = play(QUOTA, 3, 5, script)
                outcomes = self.list_outcomes(fleet, CUT_AT + 1.0, END - 1.0)
                self.assertGreaterEqual(self.count_served(outcomes), 0.95 * len(outcomes))
                self.assertLess(max(one.ended - one.came for one in outcomes), 0.75)

    # Load: 1.2 to 1.7 times the quota, under cuts, kills, freezes, joins and lowered quotas.
    # Guards against tokens that count for two requests on any way to a keeper.
    def test_no_series_of_faults_exceeds_a_quota(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                quota = QUOTA if seed % 10 == 9 else SERIES_QUOTAS[seed % 3]
                fleet = play(quota, 3 + 2 * (seed % 2), seed, play_series)
                self.assertEqual(fleet.find_excess(), 0.0)


if __name__ == "__main__":
    unittest.main()
