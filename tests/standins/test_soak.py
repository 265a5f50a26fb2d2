import unittest

from gypsumbridge_standins.soak import run

SEEDS = (1, 2, 3, 4, 5)
STEPS = 20_000


class SoakTest(unittest.TestCase):
    def test_fixed_seeds(self):
        """Guards against any broken invariant under two faults at a time."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                state = run.run_soak(seed, STEPS)
                self.assertGreater(state.answered, 100)

    def test_same_seed_gives_the_same_run(self):
        """Guards against a failure that its seed does not repeat."""
        first = run.run_soak(9, STEPS)
        second = run.run_soak(9, STEPS)
        self.assertEqual(first.digest, second.digest)
        self.assertNotEqual(first.digest, run.run_soak(10, STEPS).digest)
