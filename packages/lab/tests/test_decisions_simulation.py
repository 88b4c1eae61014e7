import unittest

from persimmonusher_lab.decisions_cases import CASES
from persimmonusher_lab.decisions_figures import RunFigures, measure
from persimmonusher_lab.decisions_measure import collect, list_jobs, run_job
from persimmonusher_lab.decisions_report import compare
from persimmonusher_lab.decisions_simulation import Simulation
from persimmonusher_lab.decisions_sites import GRAZIANI, TAKEUCHI, Site


def run(site: Site, name: str, policy: str = "usher", seed: int = 3) -> RunFigures:
    case = next(case for case in CASES if case.name == name)
    simulation = Simulation(site, case, policy, seed)
    return measure(simulation, simulation.run())


class OutcomesForCallersTest(unittest.TestCase):
    """Callers of a whole service, through 36 or 48 instances, while something is wrong."""

    def test_gray_server_stops_getting_work(self) -> None:
        for site, seconds in ((TAKEUCHI, 2.0), (GRAZIANI, 4.0)):
            with self.subTest(site.name):
                figures = run(site, "failing 50%")
                assert figures.detection_ms is not None
                self.assertLess(figures.detection_ms, 1000 * seconds)
                self.assertEqual(figures.false_ejections, 0)
                self.assertGreater(figures.ok_share, 0.99)

    def test_overload_is_refused_and_not_lost(self) -> None:
        figures = run(GRAZIANI, "overload 3x")
        self.assertGreater(figures.goodput, 0.85)
        self.assertLess(figures.failed_share, 0.01)
        self.assertGreater(figures.fairness, 0.95)
        self.assertGreater(figures.lookups_served, 0.1)
        self.assertGreater(figures.entries_served, figures.lookups_served)

    def test_crashing_request_costs_two_servers_at_most(self) -> None:
        self.assertLessEqual(run(TAKEUCHI, "crashing request").crashes, 2)

    def test_floor_holds_when_most_servers_fail(self) -> None:
        figures = run(GRAZIANI, "half fail 100%")
        self.assertGreaterEqual(figures.lowest_capacity, 0.75)

    def test_same_seed_gives_the_same_run(self) -> None:
        self.assertEqual(run(TAKEUCHI, "one-way cut"), run(TAKEUCHI, "one-way cut"))


class ComparisonTest(unittest.TestCase):
    def test_only_notable_changes_are_told(self) -> None:
        jobs = list_jobs(1, ["well"], ["usher"], ["Takeuchi"])
        document = {"cases": collect(run_job(job) for job in jobs)}
        self.assertEqual(compare(document, document), [])


if __name__ == "__main__":
    unittest.main()
