import pathlib
import subprocess
import sys
import unittest

MODULE = 'gypsumbridge_standins.fault_soak'
SECONDS = '12'
PLANS = pathlib.Path(__file__).parent / 'fault_plans'
# Plans that have failed, with the fault that they found. They are kept as
# files, since a new kind of fault changes the plan that a seed draws.
REGRESSIONS = (
    # Seed 8. All idle connections to searchers were silently broken; parts
    # and hedges timed out on them.
    'silent_connections',
    # Seed 102. A watch of the store and the call after its timeout used
    # connections that were silently broken; routes were 6 s late.
    'silent_store_connections',
    # Seed 716. A gateway learned of a removed searcher 2.2 s late, since its
    # relay had lost the store, and used the searcher for 2 s more.
    'late_removal',
    # Seed 714. A frozen searcher read requests 3.2 s after they had been
    # sent; the soak reported them as requests sent during a drain.
    'frozen_searcher',
    # Seed 31003. An entry was deleted in the pause that follows the first
    # list of a new fleet, and the searcher was used for 3.0 s after that.
    'removal_in_first_pause',
)
# The last seed draws planned work only. In the last two, one gateway of each
# failure domain watches the store for the others.
SEEDS = ('101', '104', '103')


class FaultSoakTest(unittest.TestCase):
    def run_soak(self, *arguments):
        process = subprocess.run(
            [sys.executable, '-m', MODULE, *arguments],
            capture_output=True,
            text=True,
        )
        self.assertEqual(
            0, process.returncode, process.stdout + process.stderr
        )

    def test_fixed_seeds(self):
        """Guards against a guarantee that fails under overlapping faults."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_soak(seed, SECONDS)

    def test_plans_that_have_failed(self):
        """Guards against regressions of faults that the soak has found."""
        for name in REGRESSIONS:
            with self.subTest(plan=name):
                self.run_soak('--plan', str(PLANS / f'{name}.json'))

    def test_an_evacuation_behind_late_relays(self):
        """Guards against nodes that wait for a frozen or lost relay."""
        self.run_soak('--plan', str(PLANS / 'late_evacuation.json'))
