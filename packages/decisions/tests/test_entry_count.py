"""The number of entries among which a fleet's allowances are shared."""

import unittest

from persimmonusher_decisions.entry_count import ENTRIES_MEMORY_SECONDS, EntryCount


class EntryCountTest(unittest.TestCase):
    # Guards against entries that share out the whole retry budget while others, cut off from the
    # keepers and so not counted, still use their parts.
    def test_entries_that_are_not_counted_any_more_keep_their_parts_for_a_time(self) -> None:
        entries = EntryCount(used_share=0.5)
        entries.record(93, 0.0)
        for number, live in enumerate((70, 50, 30, 9)):
            entries.record(live, 0.2 * number)
        entries.record(9, ENTRIES_MEMORY_SECONDS)
        self.assertEqual(entries.value, 93)
        entries.record(9, ENTRIES_MEMORY_SECONDS + 0.1)
        self.assertEqual(entries.value, 9)

    # Guards against entries that use too small a part for as long after a few have stopped.
    def test_a_few_entries_that_stop_are_not_counted_any_more(self) -> None:
        entries = EntryCount(used_share=0.5)
        entries.record(3, 0.0)
        entries.record(2, 0.5)
        self.assertEqual(entries.value, 2)

    def test_more_entries_are_counted_at_once(self) -> None:
        entries = EntryCount()
        entries.record(9, 0.0)
        entries.record(93, 0.1)
        self.assertEqual(entries.value, 93)


if __name__ == "__main__":
    unittest.main()
