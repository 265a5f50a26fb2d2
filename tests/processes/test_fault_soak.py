import subprocess
import sys
import unittest

MODULE = 'gypsumbridge_standins.fault_soak'
SECONDS = 12
# Seeds that have failed, at their first length, with what was wrong.
REGRESSIONS = (
    # Idle connections to all searchers had lost their bytes; parts and
    # hedges timed out on them.
    (8, 20),
)
FIXED = ((101, SECONDS), (102, SECONDS), (103, SECONDS))


class FaultSoakTest(unittest.TestCase):
    def test_fixed_seeds(self):
        """Guards against a promise that breaks under overlapping faults."""
        for seed, seconds in (*REGRESSIONS, *FIXED):
            with self.subTest(seed=seed):
                ended = subprocess.run(
                    [sys.executable, '-m', MODULE, str(seed), str(seconds)],
                    capture_output=True,
                    text=True,
                )
                self.assertEqual(0, ended.returncode, ended.stdout)
