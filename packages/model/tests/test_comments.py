"""Comments of shipped code must explain it, and must not say how a value was found."""

import importlib.util
import sys
import unittest
from pathlib import Path
from types import ModuleType

TOOL = Path(__file__).parents[3] / "tools" / "check_comments.py"


def load_tool() -> ModuleType:
    spec = importlib.util.spec_from_file_location("check_comments", TOOL)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["check_comments"] = module
    spec.loader.exec_module(module)
    return module


class CommentsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tool = load_tool()

    def test_shipped_code_tells_no_tuning_stories(self) -> None:
        self.assertEqual(self.tool.main(), 0)

    def test_a_planted_story_is_found(self) -> None:
        planted = {
            "a comment": "SHARE = 0.5  # 82% of simulated requests\n",
            "a docstring of a constant": 'SHARE = 0.5\n"""Best in three runs."""\n',
            "a cost": "LINES = 50  # takes a hundredth of a core\n",
            "a share of a start": '"""Left out: it took a quarter of it."""\n',
            "a docstring's later line": 'def f():\n    """Do.\n\n    It was measured.\n    """\n',
        }
        for name, source in planted.items():
            with self.subTest(name=name):
                self.assertEqual(len(self.tool.find_stories(source, "m.py")), 1)

    def test_code_and_messages_are_let_be(self) -> None:
        source = 'text = "simulated"\nsimulated = 1\n'
        self.assertEqual(self.tool.find_stories(source, "m.py"), [])


if __name__ == "__main__":
    unittest.main()
