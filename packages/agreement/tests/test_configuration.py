import json
import unittest

from persimmonusher_agreement.change_check import check_change
from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.configuration_objects import (
    Accepted,
    Batch,
    Change,
    Conflict,
    Invalid,
    ObjectKey,
    ObjectKind,
    Verdict,
)
from persimmonusher_agreement.configuration_store import ConfigurationStore
from persimmonusher_model.errors import ErrorCode
from persimmonusher_model.identifiers import Revision


def make(change_id: str, kind: str, name: str, based_on: int, body: object = None) -> Change:
    text = None if body is None else json.dumps(body)
    return Change(change_id, "clerk", ObjectKey(ObjectKind(kind), name), Revision(based_on), text)


def get_codes(verdict: Verdict | None) -> list[ErrorCode]:
    assert isinstance(verdict, Invalid), verdict
    return [finding.code for finding in verdict.findings]


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.configuration = Configuration("fleet")
        for change in (
            make("c1", "profile", "lookups", 0, {"ramp_ms": 1}),
            make("c2", "service", "entries", 0, {"profile": "lookups"}),
            make("c3", "route", "*/entries", 0, {"service": "entries"}),
        ):
            self.assertIsInstance(self.configuration.apply(change), Accepted)

    def test_operators_race_and_the_loser_sees_the_winner(self) -> None:
        """Two operators change the same profile from the same revision, one change each.

        One must win. The other must get a conflict that shows which change won, and whose it was.
        """
        first = self.configuration.apply(make("a", "profile", "lookups", 1, {"ramp_ms": 2}))
        second = self.configuration.apply(make("b", "profile", "lookups", 1, {"ramp_ms": 3}))
        self.assertEqual(first, Accepted(Revision(4)))
        assert isinstance(second, Conflict)
        self.assertEqual((second.winner.change_id, second.winner.revision), ("a", 4))
        self.assertEqual(self.configuration.revision, 4)

    def test_a_resend_gets_the_first_verdict_also_after_a_snapshot(self) -> None:
        """The answer to a change is lost and it is resent after other changes.

        If it were applied again, it would conflict with itself or undo the later changes.
        """
        changes = [
            make("a", "profile", "lookups", 1, {"ramp_ms": 2}),
            make("b", "profile", "lookups", 1, {"ramp_ms": 3}),
            make("c", "profile", "lookups", 4, None),
        ]
        verdicts = [self.configuration.apply(change) for change in changes]
        restored = Configuration()
        restored.restore(self.configuration.capture())
        for configuration in (self.configuration, restored):
            again = [configuration.apply(change) for change in changes]
            self.assertEqual(again, verdicts)
            self.assertEqual(configuration.revision, 4)

    def test_a_change_id_used_for_another_change_is_refused(self) -> None:
        verdict = self.configuration.apply(make("c1", "profile", "lookups", 1, {"ramp_ms": 9}))
        self.assertEqual(get_codes(verdict), [ErrorCode.BAD_REQUEST])

    def test_what_is_in_use_is_not_retired_and_what_is_named_must_exist(self) -> None:
        cases = [
            (make("x", "profile", "lookups", 1), [ErrorCode.IN_USE]),
            (make("x", "service", "entries", 2), [ErrorCode.IN_USE]),
            (make("x", "service", "s", 0, {"profile": "none"}), [ErrorCode.NOT_FOUND]),
            (make("x", "route", "*/x", 0, {"service": "none"}), [ErrorCode.NOT_FOUND]),
            (make("x", "profile", "none", 3, {}), [ErrorCode.NOT_FOUND]),
            (make("x", "profile", "none", 0, None), [ErrorCode.NOT_FOUND]),
        ]
        for number, (change, codes) in enumerate(cases):
            with self.subTest(number):
                configuration = Configuration()
                configuration.restore(self.configuration.capture())
                self.assertEqual(get_codes(configuration.apply(change)), codes)
                self.assertEqual(configuration.revision, 3)

    def test_a_retired_object_can_be_made_again_and_shows_its_history(self) -> None:
        for change in (
            make("d1", "route", "*/entries", 3),
            make("d2", "route", "*/entries", 0, {"service": "entries"}),
        ):
            self.assertIsInstance(self.configuration.apply(change), Accepted)
        restored = Configuration()
        restored.restore(self.configuration.capture())
        for configuration in (self.configuration, restored):
            history = configuration.list_history(ObjectKey(ObjectKind.ROUTE, "*/entries"))
            found = [(record.revision, record.body is None) for record in history]
            self.assertEqual(found, [(3, False), (4, True), (5, False)])

    def test_memory_of_verdicts_histories_and_tombstones_is_bounded(self) -> None:
        configuration = Configuration("f", verdicts_kept=5, history_kept=3, tombstones_kept=4)
        for number in range(20):
            name = f"p{number}"
            configuration.apply(make(f"a{number}", "profile", name, 0, {}))
            configuration.apply(make(f"b{number}", "profile", name, number * 2 + 1))
        state = configuration.capture()
        self.assertEqual((len(state.verdicts), len(state.records), len(state.histories)), (5, 4, 4))

    def test_a_body_nested_too_deep_is_a_finding(self) -> None:
        """A body nests sixty thousand brackets; the leader must return a finding, not fail."""
        key = ObjectKey(ObjectKind.PROFILE, "p")
        change = Change("c", "clerk", key, Revision(0), "[" * 60_000)
        self.assertEqual([f.code for f in check_change(change)], [ErrorCode.BAD_JSON])

    def test_changes_are_checked_alone_with_all_findings(self) -> None:
        cases = [
            (make("c", "profile", "p", 0, {"rmp": 1, "max_retries": 9}), 2),
            (make("", "profile", " p", 0, {}), 2),
            (make("c", "service", "s", 0, {"profil": "x"}), 2),
            (make("c", "route", "no-slash", 0, {"service": "s"}), 1),
            (make("c", "route", "Host/x", 0, {"service": "s"}), 1),
            (make("c", "route", "*/x/", 0, {"service": "s"}), 1),
            (make("c", "route", "*/", 0, {"service": "s"}), 0),
            (make("c", "profile", "p", 0, [1]), 1),
            (make("c" * 600, "route", "*/" + "x" * 600, 0, {"service": "s" * 2_000}), 3),
            (make("c", "profile", "p", 0, {"preset": "ejection-averse"}), 0),
        ]
        for number, (change, count) in enumerate(cases):
            with self.subTest(number):
                self.assertEqual(len(check_change(change)), count)


class ConfigurationStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.source = Configuration("fleet", tombstones_kept=2)
        self.number = 0

    def change(self, name: str, body: object) -> None:
        self.number += 1
        live = self.source.store.find_live(ObjectKey(ObjectKind.PROFILE, name))
        based_on = live.revision if live else 0
        verdict = self.source.apply(make(f"c{self.number}", "profile", name, based_on, body))
        self.assertIsInstance(verdict, Accepted)

    def list_names(self, store: ConfigurationStore) -> list[str]:
        return sorted(record.key.name for record in store.list_live(ObjectKind.PROFILE))

    def test_a_replica_that_was_away_gets_the_same_state(self) -> None:
        """An entry is cut off while objects are created, changed and retired.

        On its return one batch must bring it to the same state, also if the tombstones of objects
        retired meanwhile are removed already.
        """
        for away in (1, 8):
            replica = ConfigurationStore()
            for name in "abcde":
                self.change(name, {})
            replica.apply_batch(self.source.collect_since(replica.revision))
            for name in "abcde"[: min(away, 4)]:
                self.change(name, None)
            self.change("e", {"ramp_ms": 5})
            batch = self.source.collect_since(replica.revision)
            self.assertEqual(batch.whole, away == 8)
            replica.apply_batch(batch)
            self.assertEqual(replica.revision, self.source.revision)
            self.assertEqual(self.list_names(replica), self.list_names(self.source.store))
            for name in self.list_names(replica):
                self.change(name, None)

    def test_late_answers_and_other_fleets_change_nothing(self) -> None:
        """A slow peer answers after a newer batch was applied; another fleet's keeper answers.

        Neither answer may change the entry's configuration.
        """
        replica = ConfigurationStore()
        self.change("a", {})
        late = self.source.collect_since(Revision(0))
        self.change("a", {"ramp_ms": 1})
        replica.apply_batch(self.source.collect_since(Revision(0)))
        other = Batch("other", Revision(0), Revision(99), (), True)
        for batch in (late, other):
            self.assertEqual(replica.apply_batch(batch), ())
            self.assertEqual((replica.revision, self.list_names(replica)), (2, ["a"]))

    def test_a_replica_serves_another_replica(self) -> None:
        first, second = ConfigurationStore(), ConfigurationStore()
        for name in "abc":
            self.change(name, {})
            first.apply_batch(self.source.collect_since(first.revision))
        second.apply_batch(first.collect_since(second.revision))
        self.assertEqual(second.list_all(), self.source.store.list_all())


if __name__ == "__main__":
    unittest.main()
