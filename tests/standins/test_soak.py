import functools
import unittest

from gypsumbridge_standins.soak import run

SEEDS = (1, 2, 3, 4, 5)
STEPS = 20_000


@functools.cache
def run_once(seed):
    """Run a soak once for all tests, since each run takes seconds."""
    return run.run_soak(seed, STEPS)


class SoakTest(unittest.TestCase):
    def test_fixed_seeds(self):
        """Guards against invariant violations under concurrent faults."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                state = run_once(seed)
                self.assertGreater(state.answered, 100)
                self.assertGreater(state.mutations_answered, 10)

    def test_same_seed_gives_the_same_run(self):
        """Guards against a failure that its seed cannot reproduce."""
        first = run_once(1)
        second = run.run_soak(1, STEPS)
        self.assertEqual(first.digest, second.digest)
        self.assertNotEqual(first.digest, run_once(2).digest)
