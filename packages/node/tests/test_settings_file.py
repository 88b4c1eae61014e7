import unittest
from pathlib import Path

from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_node.settings_file import load_settings, parse_settings

EXAMPLES = Path(__file__).resolve().parents[3] / "docs" / "examples"
GOOD = """{
  // a comment
  "instance_id": "i1", "failure_domain": "a",
  "listen": {
    "callers": "10.0.0.1:8080", "announcements": "10.0.0.1:8081", "peers": "10.0.0.1:7000",
    "operators": "10.0.0.1:7001", "metrics": "10.0.0.1:9100",
  },
  "peer_token": "p-secret",
}"""


def find(text: str) -> dict[tuple[ErrorCode, str], int | None]:
    try:
        parse_settings(text, "f.json")
    except UsherError as error:
        return {(finding.code, finding.path): finding.line for finding in error.findings}
    return {}


class SettingsFileTest(unittest.TestCase):
    def test_examples_are_in_order(self) -> None:
        roles = {path.stem: load_settings(path).roles for path in EXAMPLES.glob("*.json")}
        expected = {
            "entry": ("entry",),
            "keeper": ("entry", "keeper"),
            "assessor": ("entry", "assessor"),
        }
        self.assertEqual(roles, expected)

    def test_comments_and_trailing_commas_are_taken(self) -> None:
        self.assertEqual(parse_settings(GOOD, "f.json").instance_id, "i1")

    def test_all_findings_come_together_with_their_lines(self) -> None:
        text = (
            GOOD.replace('"failure_domain"', '"failure_domian"')
            .replace('"operators": "10.0.0.1:7001"', '"operators": 7001')
            .replace('"p-secret"', "5")
        )
        self.assertEqual(
            find(text),
            {
                (ErrorCode.MISSING_KEY, "failure_domain"): None,
                (ErrorCode.UNKNOWN_KEY, "failure_domian"): 3,
                (ErrorCode.BAD_VALUE, "listen.operators"): 6,
                (ErrorCode.BAD_VALUE, "peer_token"): 8,
            },
        )

    def test_an_unknown_key_names_the_nearest_known_one(self) -> None:
        text = GOOD.replace('"metrics"', '"metrix"')
        with self.assertRaises(UsherError) as caught:
            parse_settings(text, "f.json")
        self.assertIn("did you mean 'metrics'?", str(caught.exception))

    def test_impossible_combinations_are_findings(self) -> None:
        more = (
            '"operator_tokens": {"ann": "t", "bob": "t", "eve": "p-secret"},'
            '"keepers": [{"instance_id": "i1", "address": "10.0.0.1:7000"}],'
        )
        text = GOOD.replace('"instance_id"', more + '"instance_id"').replace(":8081", ":8080")
        combination = ErrorCode.IMPOSSIBLE_COMBINATION
        self.assertEqual(
            set(find(text)),
            {
                (combination, "listen.announcements"),
                (combination, "keepers"),
                (combination, "operator_tokens"),
            },
        )

    def test_what_is_no_document_is_one_finding(self) -> None:
        cases = [
            ("{", ErrorCode.BAD_JSON, 1),
            ('{\n"a" 1}', ErrorCode.BAD_JSON, 2),
            ('{"a": 1, "a": 2}', ErrorCode.BAD_JSON, None),
            ("[]", ErrorCode.BAD_VALUE, None),
        ]
        for text, code, line in cases:
            with self.subTest(text):
                self.assertEqual(find(text), {(code, ""): line})

    def test_a_file_that_can_not_be_read_is_a_finding(self) -> None:
        with self.assertRaises(UsherError) as caught:
            load_settings(Path("/no/such/file.json"))
        self.assertEqual(caught.exception.code, ErrorCode.UNREADABLE_FILE)

    def test_secrets_are_never_shown(self) -> None:
        text = GOOD.replace('"p-secret"', '["p-secret"]')
        with self.assertRaises(UsherError) as caught:
            parse_settings(text, "f.json")
        self.assertNotIn("p-secret", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
