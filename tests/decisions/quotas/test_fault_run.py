import dataclasses
import unittest
from unittest import mock

from gypsumbridge_decisions.quotas import entitlement
from gypsumbridge_decisions.quotas import grant
from gypsumbridge_decisions.quotas import token_bucket
from tests.decisions.quotas import fault_run

SEEDS = 40
MUTANT_SEEDS = 24


def run_seed(seed):
    run = fault_run.FaultRun(seed)
    run.run()
    return run.violations()


def name_without_wait(*args):
    return dataclasses.replace(NAME_HOLDER(*args), wait_until_ms=None)


def begin_full(bucket, limits, begin_ms, full):
    BEGIN(bucket, limits, begin_ms, True)


NAME_HOLDER = entitlement.name_holder
BEGIN = token_bucket.TokenBucket.__init__
MUTANTS = {
    'uses expired grants': (
        grant.Grant,
        'is_valid',
        lambda used, now_ms: True,
    ),
    'grants with an expired proof': (
        entitlement,
        'may_grant',
        lambda holding, ttl_ms, now_ms: holding.begin_ms is not None,
    ),
    'does not wait after a takeover': (
        entitlement,
        'name_holder',
        name_without_wait,
    ),
    'begins with full buckets': (
        token_bucket.TokenBucket,
        '__init__',
        begin_full,
    ),
}


class FaultRunTest(unittest.TestCase):
    def test_no_window_exceeds_the_limit_under_any_faults(self):
        """Guards against tokens that are used beyond a quota while nodes are
        paused, cut off, killed, restarted and added and the store is away or
        restored, and against refusals of a calm customer without faults.
        """
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual([], run_seed(seed))

    def test_mutants_are_found(self):
        """Guards against a run that sees no violation."""
        for name, (owner, attribute, faulty) in MUTANTS.items():
            with self.subTest(name):
                with mock.patch.object(owner, attribute, faulty):
                    found = any(run_seed(n) for n in range(MUTANT_SEEDS))
                self.assertTrue(found)
