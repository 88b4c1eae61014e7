"""The reference pages list every error code, metric, header and setting.

The settings and metrics pages may list no other names.
"""

import re
import unittest
from pathlib import Path

from aioprometheus.histogram import Histogram as Buckets
from pydantic import BaseModel

from persimmonusher_model.errors import ErrorCode
from persimmonusher_node import headers
from persimmonusher_node.answers import FORMS, AnswerCode
from persimmonusher_node.headers import CallerOutcome
from persimmonusher_node.metrics import InstanceGauges, RequestMetrics
from persimmonusher_node.settings import Settings
from persimmonusher_node.tiers.keeper_metrics import KeeperGauges, KeeperMetrics

PAGES = Path(__file__).resolve().parents[3] / "docs" / "reference"


def read_first_cells(page: str) -> set[str]:
    text = (PAGES / page).read_text()
    return {match[1].strip() for match in re.finditer(r"^\| ([^|]+) \|", text, re.MULTILINE)}


def list_keys(model: type[BaseModel], prefix: str = "") -> set[str]:
    keys = set()
    for name, field in model.model_fields.items():
        nested = field.annotation
        if isinstance(nested, type) and issubclass(nested, BaseModel):
            keys |= list_keys(nested, f"{name}.")
        else:
            keys.add(prefix + name)
    return keys


class ReferencePagesTest(unittest.TestCase):
    def test_every_code_is_listed(self) -> None:
        codes = {code.value for code in (*AnswerCode, *ErrorCode)}
        self.assertEqual(codes - read_first_cells("errors.md"), set())

    def test_every_answer_code_has_its_status_and_outcome_on_the_page(self) -> None:
        text = (PAGES / "errors.md").read_text()
        for code, form in FORMS.items():
            with self.subTest(code):
                row = next(
                    line for line in text.splitlines() if line.startswith(f"| {code.value} ")
                )
                cells = [cell.strip() for cell in row.split("|")]
                self.assertIn(str(form.status), cells[2])
                self.assertIn(form.outcome.value, cells[3])

    def test_what_is_not_run_always_says_when_to_come_back(self) -> None:
        silent = [
            code
            for code, form in FORMS.items()
            if form.outcome is CallerOutcome.NOT_RUN and form.retry_after is None
        ]
        self.assertEqual(silent, [])

    def test_every_setting_is_listed(self) -> None:
        self.assertEqual(read_first_cells("settings.md") - {"key", "---"}, list_keys(Settings))

    def test_every_metric_is_listed(self) -> None:
        gauges = InstanceGauges(0, 0, 0, 0, {}, {})
        text = RequestMetrics(lambda: gauges).render().decode()
        names = set(re.findall(r"^# HELP (\S+)", text, re.MULTILINE))
        self.assertEqual(read_first_cells("metrics.md") - {"metric", "---"}, names)

    def test_every_metric_of_a_keeper_is_listed(self) -> None:
        metrics = KeeperMetrics(
            lambda: KeeperGauges(1, 3, 1, 1, 1, 0.1, 2, 2, 2), Buckets(1.0), Buckets(1.0), {}
        )
        text = metrics.render().decode()
        names = set(re.findall(r"^# HELP (\S+)", text, re.MULTILINE))
        listed = read_first_cells("keeper-metrics.md") - {"metric", "---"}
        self.assertEqual(listed, names)
        self.assertIn("persimmonusher_keeper_voters 3", text)

    def test_every_header_is_listed(self) -> None:
        names = {
            value
            for name, value in vars(headers).items()
            if name.isupper() and isinstance(value, str)
        }
        self.assertEqual(names - read_first_cells("interfaces.md"), set())


if __name__ == "__main__":
    unittest.main()
