import unittest

from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_model.profile import PRESETS, Profile, parse_profile


class ProfileTest(unittest.TestCase):
    def test_presets_are_valid_and_differ_in_sensitivity(self) -> None:
        sensitivities = {preset.detection_sensitivity for preset in PRESETS.values()}
        self.assertEqual(len(sensitivities), len(PRESETS))

    def test_every_field_has_a_reason(self) -> None:
        for name, field in Profile.model_fields.items():
            with self.subTest(name):
                self.assertGreater(len(field.description or ""), 20)

    def test_a_preset_is_a_start_that_fields_override(self) -> None:
        profile = parse_profile({"preset": "ejection-averse", "ramp_ms": 1})
        self.assertEqual((profile.ramp_ms, profile.health_floor_percent), (1, 75))

    def test_all_findings_are_reported_together(self) -> None:
        with self.assertRaises(UsherError) as caught:
            parse_profile({"ramp_sm": 1, "max_retries": 9, "preset": "fastest"})
        found = {(finding.code, finding.path) for finding in caught.exception.findings}
        self.assertEqual(
            found,
            {
                (ErrorCode.UNKNOWN_KEY, "ramp_sm"),
                (ErrorCode.BAD_VALUE, "max_retries"),
                (ErrorCode.BAD_VALUE, "preset"),
            },
        )
        self.assertIn("ramp_ms", str(caught.exception))

    def test_impossible_combinations_name_their_field(self) -> None:
        with self.assertRaises(UsherError) as caught:
            parse_profile({"deadline_ms": 100, "queue_wait_ms": 200, "hedge_after_ms": 300})
        paths = [finding.path for finding in caught.exception.findings]
        self.assertEqual(paths, ["queue_wait_ms", "hedge_after_ms"])

    def test_idempotence_by_method_and_path(self) -> None:
        profile = parse_profile(
            {"idempotent_paths": ["/search"], "non_idempotent_paths": ["/assign"]}
        )
        cases = [
            ("GET", "/ranking", True),
            ("POST", "/entries", False),
            ("POST", "/search/flats", True),
            ("GET", "/assign/12", False),
        ]
        for method, path, expected in cases:
            with self.subTest(method=method, path=path):
                self.assertEqual(profile.is_idempotent(method, path), expected)


if __name__ == "__main__":
    unittest.main()
