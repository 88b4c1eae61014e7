import unittest

from decisions_helpers import Watch, ejected, make_server

from persimmonusher_decisions.evidence_messages import EjectionState
from persimmonusher_model.profile import DETECTION_FIRST, EJECTION_AVERSE


class DetectionTest(unittest.TestCase):
    def test_time_to_eject_by_preset(self) -> None:
        cases = [
            ("half fails", DETECTION_FIRST, (5, 1), 0.7),
            ("half fails", EJECTION_AVERSE, (5, 1), 1.7),
            ("all slow", DETECTION_FIRST, (0, 10), 2.2),
            ("all slow", EJECTION_AVERSE, (0, 10), 3.0),
        ]
        for name, profile, bad, seconds in cases:
            with self.subTest(name, sensitivity=profile.detection_sensitivity):
                watch = Watch(profile)
                self.assertEqual(ejected(watch.run(5.0, {})), set())
                self.assertEqual(ejected(watch.run(seconds / 2, {3: bad})), set())
                self.assertEqual(ejected(watch.run(seconds / 2 + 0.1, {3: bad})), {"s3"})

    def test_short_blip_and_pause_eject_nobody(self) -> None:
        watch = Watch()
        watch.run(3.0, {})
        self.assertEqual(ejected(watch.run(0.2, {3: (8, 1)})), set())
        watch.run(1.0, {})
        self.assertEqual(ejected(watch.run(1.0, {3: (0, 10)})), set())

    def test_digest_sent_twice_counts_once(self) -> None:
        watch = Watch()
        watch.run(3.0, {})
        watch.sequence -= 400
        self.assertEqual(ejected(watch.run(5.0, {3: (10, 10)})), set())


class OneWayCutTest(unittest.TestCase):
    """Guards against ejecting a server everywhere for a network cut to one failure domain.

    The answers of one server don't reach the instances of one domain. Callers of those instances
    see timeouts, while all others are served. If the server were ejected everywhere, its capacity
    would be lost to those that it serves.
    """

    def test_only_the_domain_that_sees_it_ejects(self) -> None:
        watch = Watch()
        watch.run(3.0, {})
        verdict = watch.run(3.0, {3: (10, 0)}, domains=("d1",))
        self.assertEqual(ejected(verdict, "d1"), {"s3"})
        self.assertEqual(ejected(verdict, "d0") | ejected(verdict, "d2"), set())

    def test_domain_whose_own_network_fails_blames_nobody(self) -> None:
        watch = Watch()
        watch.run(3.0, {})
        everyone = dict.fromkeys(range(10), (6, 1))
        verdict = watch.run(5.0, everyone, domains=("d1",))
        self.assertEqual(verdict.ejections, ())


class CommonCauseTest(unittest.TestCase):
    """Guards against ejecting servers for the fault of a shared dependency.

    The dependency fails a third of all work, on every server. The failures begin on some servers
    first, as their requests reach the dependency earlier. Operators would see servers ejected one
    after the other while the failures follow the work to the others.
    """

    def test_nobody_is_ejected_and_the_note_says_why(self) -> None:
        watch = Watch()
        watch.run(3.0, {})
        watch.run(0.2, {0: (3, 1), 1: (3, 1)})
        verdict = watch.run(5.0, dict.fromkeys(range(10), (3, 1)))
        self.assertEqual(verdict.ejections, ())
        self.assertIn("common cause", verdict.note)

    def test_mass_failure_ejects_up_to_the_floor(self) -> None:
        watch = Watch(EJECTION_AVERSE)
        watch.run(3.0, {})
        verdict = watch.run(6.0, dict.fromkeys(range(4), (10, 1)))
        self.assertEqual(len(ejected(verdict)), 2)
        self.assertIn("floor", verdict.note)


class ReadmissionTest(unittest.TestCase):
    def test_probes_decide_and_waits_grow(self) -> None:
        watch = Watch()
        watch.run(3.0, {})
        faulty = {3: (5, 1)}
        states = []
        for _ in range(150):
            verdict = watch.run(0.1, faulty)
            states.append(verdict.ejections[0].state if verdict.ejections else None)
        changes = [index for index in range(1, 150) if states[index] is not states[index - 1]]
        probations = [index for index in changes if states[index] is EjectionState.PROBATION]
        waits = [later - first for first, later in zip(probations, probations[1:], strict=False)]
        self.assertGreater(len(waits), 1)
        self.assertGreater(waits[1], 1.7 * waits[0])
        self.assertEqual(ejected(watch.run(20.0, {})), set())

    def test_new_boot_is_probed_at_once(self) -> None:
        watch = Watch()
        watch.run(3.0, {})
        watch.run(1.0, {3: (10, 1)})
        watch.servers[3] = make_server(3, boot=2)
        watch.assessor.replace_servers(watch.servers, watch.now)
        states = {item.state for item in watch.assessor.assess(watch.now).ejections}
        self.assertEqual(states, {EjectionState.PROBATION})
        self.assertEqual(ejected(watch.run(0.5, {})), set())


if __name__ == "__main__":
    unittest.main()
