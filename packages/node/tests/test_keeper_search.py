"""An entry among keepers with series of faults, on virtual time.

To run other seeds, set `KEEPER_SEARCH_SEEDS="100 200"` in the environment, the first and the end.
"""

import asyncio
import os
import unittest
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final, cast

from entry_settings import make_entry_settings
from virtual_keepers import Fault, FaultSpan, VirtualKeepers, draw_faults, find_lag
from virtual_loop import LoopClock, VirtualLoop

from persimmonusher_agreement.keeper_choice import KeeperPlace
from persimmonusher_model.clock import ManualClock
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.settings import Settings
from persimmonusher_node.tiers.follower import KeeperFollower
from persimmonusher_node.tiers.keeper_port import KeeperAnswer
from persimmonusher_node.tiers.keeper_stream import OVERDUE_SECONDS, KeeperStream
from persimmonusher_node.tiers.peer_notices import PeerNotices

SEEDS = range(*map(int, os.environ.get("KEEPER_SEARCH_SEEDS", "0 62").split()))
SERIES_SECONDS: Final = 45.0
SAMPLE_SECONDS: Final = 0.1
IN_TOUCH_SECONDS: Final = 3.0
"""Time for which a keeper must be healthy before an entry has to be current."""
STALE_SECONDS: Final = Settings.model_fields["stale_seconds"].default
FLEETS: Final = (
    ("north", "north", "south", "east", "west"),
    ("south", "south", "east", "east", "west"),
    ("north", "south", "east"),
    ("south", "east", "west"),
)
"""Failure domains of the keepers; the entry is in "north"."""


@dataclass
class Series:
    """What one series showed while some keeper had been healthy for long enough."""

    ages: list[float] = field(default_factory=list)
    lags: list[float] = field(default_factory=list)
    calls: int = 0


def run_series(domains: tuple[str, ...], faults: list[FaultSpan], seed: int) -> Series:
    """Let an entry follow keepers, and sample its configuration."""
    loop = VirtualLoop()
    clock = LoopClock(loop)
    keepers = VirtualKeepers(domains, faults, clock)
    seeds = tuple(place.address for place in keepers.places[:3])
    settings = make_entry_settings(*seeds)
    channels = ChannelPool("peers")
    view = ConfigurationClient(settings, channels, clock, Random(seed))
    peers = PeerNotices("", channels)
    follower = KeeperFollower(settings, view, keepers, peers, clock, Random(seed))
    series = Series()

    async def watch() -> None:
        follower.start()
        while clock.monotonic() < SERIES_SECONDS:
            await asyncio.sleep(SAMPLE_SECONDS)
            if clock.monotonic() > IN_TOUCH_SECONDS and keepers.has_healthy(IN_TOUCH_SECONDS):
                series.ages.append(follower.find_freshness().age)
                series.lags.append(find_lag(view.revision(), clock.monotonic()))
        follower.stop()
        series.calls = keepers.calls

    loop.run(watch())
    return series


class KeeperSearchTest(unittest.TestCase):
    # Guards against any late configuration at an entry that has had a way to a fresh keeper.
    def test_an_entry_with_a_way_to_a_fresh_keeper_is_current(self) -> None:
        for domains in FLEETS:
            for seed in SEEDS:
                faults = draw_faults(Random(seed), len(domains), SERIES_SECONDS)
                with self.subTest(domains=domains, seed=seed):
                    series = run_series(domains, faults, seed)
                    self.assertLessEqual(max(series.ages, default=0.0), STALE_SECONDS)
                    self.assertLessEqual(max(series.lags, default=0.0), STALE_SECONDS)

    # Guards against questions to all keepers while the followed one is healthy.
    def test_an_entry_asks_little_while_its_keeper_is_healthy(self) -> None:
        series = run_series(FLEETS[0], [], seed=1)
        self.assertLess(series.calls / SERIES_SECONDS, 3.0)

    # Guards against flooding the keepers while none has a majority.
    def test_an_entry_asks_each_stale_keeper_a_few_times_a_second(self) -> None:
        everywhere = range(len(FLEETS[0]))
        faults = [FaultSpan(number, Fault.STALE, 5.0, SERIES_SECONDS) for number in everywhere]
        series = run_series(FLEETS[0], faults, seed=1)
        self.assertLess(series.calls / SERIES_SECONDS / len(FLEETS[0]), 3.0)

    # Guards against leaving a keeper, and starting anew, in the middle of the whole configuration.
    def test_a_keeper_is_kept_while_the_whole_configuration_arrives_slowly(self) -> None:
        answer = KeeperAnswer(KeeperPlace("10.0.0.1:1"), 0.0, 0.4, Revision(5))
        unused = cast("Any", None)
        stream = KeeperStream(answer, unused, unused, ManualClock(), Random(1))
        nothing_yet, long_ago = float("-inf"), -STALE_SECONDS
        self.assertEqual(stream.find_unhealthy_at(STALE_SECONDS, long_ago), OVERDUE_SECONDS)
        self.assertGreater(stream.find_unhealthy_at(STALE_SECONDS, nothing_yet), OVERDUE_SECONDS)


if __name__ == "__main__":
    unittest.main()
