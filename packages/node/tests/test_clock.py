import time
import unittest
from unittest import mock

from persimmonusher_node.clock import SystemClock

SUSPENDED_SECONDS = 5.0


class SystemClockTest(unittest.TestCase):
    # Guards against a clock that stops while the machine is suspended: old state would look fresh.
    def test_time_in_which_the_machine_was_suspended_counts(self) -> None:
        clock = SystemClock()
        before = clock.monotonic()
        read_clock = time.clock_gettime

        def read_after_suspension(which: int) -> float:
            suspended = SUSPENDED_SECONDS if which == time.CLOCK_BOOTTIME else 0.0
            return read_clock(which) + suspended

        with mock.patch.object(time, "clock_gettime", read_after_suspension):
            self.assertGreaterEqual(clock.monotonic() - before, SUSPENDED_SECONDS)


if __name__ == "__main__":
    unittest.main()
