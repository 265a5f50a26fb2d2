import unittest

from gypsumbridge_decisions import clock


class ClockTest(unittest.TestCase):
    def test_rounds_nanoseconds_down(self):
        """Guards against a timeout that expires a millisecond early."""
        made = clock.make_clock(lambda: 1_999_999, lambda: 5_000_000)
        self.assertEqual(1, made.now_ms())
        self.assertEqual(5, made.wall_ms())

    def test_manual_time_does_not_move_backwards(self):
        """Guards against a replay whose timers run in the wrong order."""
        source = clock.ManualTime(10)
        source.advance(5)
        self.assertEqual(15, source.clock().now_ms())
        with self.assertRaises(ValueError):
            source.advance(-1)
