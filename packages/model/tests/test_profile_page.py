import importlib.util
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]


class ProfilePageTest(unittest.TestCase):
    def test_the_reference_page_is_what_the_fields_say(self) -> None:
        tool = ROOT / "tools" / "write_profile_page.py"
        spec = importlib.util.spec_from_file_location("write_profile_page", tool)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        self.assertEqual(module.PAGE.read_text(), module.make_page())


if __name__ == "__main__":
    unittest.main()
