import pathlib
import subprocess
import sys
import unittest

MODULE = 'gypsumbridge_standins.fault_soak'
SECONDS = '12'
PLANS = pathlib.Path(__file__).parent / 'fault_plans'
# Plans that have failed, with what was wrong; kept as files, since a new
# kind of fault changes what a seed draws.
REGRESSIONS = (
    # Seed 8. Idle connections to all searchers had lost their bytes; parts
    # and hedges timed out on them.
    'silent_connections',
    # Seed 102. A watch of the store and the call after its time-out went
    # over connections that had lost their bytes; routes were 6 s late.
    'silent_store_connections',
    # Seed 716. A gateway heard 2.2 s late of a removed searcher, since its
    # relay had lost the store, and used it for 2 s more.
    'late_removal',
    # Seed 714. A searcher that was frozen read requests 3.2 s after they
    # had been sent; the soak took them for work sent into a drain.
    'frozen_searcher',
)
# The last one plays planned work only. In the last two, one gateway of each
# failure domain watches the store for the others.
FIXED_SEEDS = ('101', '104', '103')


class FaultSoakTest(unittest.TestCase):
    def run_soak(self, *arguments):
        ended = subprocess.run(
            [sys.executable, '-m', MODULE, *arguments],
            capture_output=True,
            text=True,
        )
        self.assertEqual(0, ended.returncode, ended.stdout + ended.stderr)

    def test_fixed_seeds(self):
        """Guards against a promise that breaks under overlapping faults."""
        for seed in FIXED_SEEDS:
            with self.subTest(seed=seed):
                self.run_soak(seed, SECONDS)

    def test_plans_that_have_failed(self):
        """Guards against the return of what the soak has found."""
        for name in REGRESSIONS:
            with self.subTest(plan=name):
                self.run_soak('--plan', str(PLANS / f'{name}.json'))
