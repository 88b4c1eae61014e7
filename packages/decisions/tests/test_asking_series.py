"""Seeded simulations of servers that name limits, ask for rest or leave, with disturbed instances.

To run other seeds, set `ASKING_SEEDS="20 21 22"` in the environment of the test run.
"""

import os
import unittest
from dataclasses import dataclass
from random import Random

from asking_servers import SILENT, WAY_SECONDS, WORK_SECONDS, AskingServers, Scene, Seen

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_model.identifiers import ServerId
from persimmonusher_model.profile import Profile

SEEDS = tuple(map(int, os.environ.get("ASKING_SEEDS", "1 2 3 4 5 6").split()))
PROFILE = Profile(suspect_ms=4_000, hedge_slow=True, retry_slack=50, retry_budget_percent=20)
RUN_SECONDS = 40.0
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
GRACE_SECONDS = 0.5
SENT_IN_REST = 2
DRAIN_SECONDS = 2.0


@dataclass(frozen=True)
class AskingPeriod:
    """What a server asks for between two times."""

    server_id: ServerId
    begin: float
    end: float
    advice: ServerAdvice

    def holds(self, server_id: ServerId, now: float) -> bool:
        """Return whether this server's answers ask for it at this time."""
        return server_id == self.server_id and self.begin <= now < self.end


def draw_periods(random: Random, servers: int) -> list[AskingPeriod]:
    """Draw a leaving for server 0 and, for each other server, a period with a limit or rests."""
    periods = []
    for index in range(servers):
        begin = random.uniform(2.0, 20.0)
        end = begin + random.uniform(1.0, 15.0)
        advice = random.choice(
            (
                ServerAdvice(rate_limit=random.choice((0.5, 1.0, 1.5, 4.0, 10.0))),
                ServerAdvice(rest_seconds=random.choice((0.8, 2.0, 3.0, 6.0))),
            )
        )
        if index == 0:
            end, advice = RUN_SECONDS, ServerAdvice(is_leaving=True)
        periods.append(AskingPeriod(ServerId(f"s{index}"), begin, end, advice))
    return periods


def draw_scene(random: Random) -> Scene:
    return Scene(
        instances=random.choice((6, 36, 80)),
        servers=random.randint(2, 8),
        requests_a_second=random.choice((0.5, 2.0, 4.0)),
        seconds=RUN_SECONDS,
        lost_share=random.choice((0.0, 0.3, 0.9)),
        cut_share=random.choice((0.0, 0.3)),
        counted_share=random.choice((1.0, 0.6)),
        disturbances=random.randint(0, 20),
    )


class AskingSeriesTest(unittest.TestCase):
    def check_limit(self, seen: Seen, period: AskingPeriod) -> None:
        rate = period.advice.rate_limit or 0.0
        counted = [
            arrival.at for arrival in seen.list_informed_arrivals(period.server_id, TOLD_SECONDS)
        ]
        for end in counted:
            if period.begin + WORK_SECONDS + STABLE_SECONDS <= end < period.end:
                count = sum(end - WINDOW_SECONDS < at <= end for at in counted)
                self.assertLessEqual(count, 1.5 * rate * WINDOW_SECONDS + 5, period)

    def check_rests(self, seen: Seen, period: AskingPeriod) -> None:
        arrivals = seen.list_arrivals(period.server_id)
        for rest in seen.rests:
            if rest.server_id != period.server_id or rest.instance in seen.disturbed:
                continue
            begin = rest.at - WAY_SECONDS + GRACE_SECONDS
            count = sum(
                arrival.instance == rest.instance and begin <= arrival.at < rest.at + rest.seconds
                for arrival in arrivals
            )
            self.assertLessEqual(count, SENT_IN_REST, rest)

    def check_leaving(self, seen: Seen, period: AskingPeriod) -> None:
        late = seen.list_informed_arrivals(period.server_id, DRAIN_SECONDS)
        self.assertEqual(late, [], period)

    # Guards against limits, rests or leaving being ignored while instances restart or miss notices.
    def test_what_servers_ask_for_is_kept_in_seeded_series(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def run_seed(self, seed: int) -> None:
        random = Random(seed)
        scene = draw_scene(random)
        periods = draw_periods(random, scene.servers)

        def advise(server_id: ServerId, now: float) -> ServerAdvice:
            return next(
                (period.advice for period in periods if period.holds(server_id, now)), SILENT
            )

        seen = AskingServers(scene, PROFILE, advise, seed).run()
        self.assertGreater(seen.served, 0)
        for period in periods:
            if period.advice.rate_limit is not None:
                self.check_limit(seen, period)
            elif period.advice.rest_seconds:
                self.check_rests(seen, period)
            else:
                self.check_leaving(seen, period)


if __name__ == "__main__":
    unittest.main()
