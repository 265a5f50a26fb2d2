import types
import unittest

from gypsumbridge_standins.fault_soak import contact
from gypsumbridge_standins.fault_soak import demand_wave
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import drill
from gypsumbridge_standins.fault_soak import drill_checks
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import span
from tests.standins import test_fault_soak_checks

SENT_MS = test_fault_soak_checks.SENT_MS
# A searcher departs and a version is written, and the store goes away once
# gateways have applied both.
DEPARTED_MS = SENT_MS - 5_000
BEGAN_MS = DEPARTED_MS + deployment.DRAIN_MS + 500
BACK_MS = BEGAN_MS + 1_000
REWRITTEN_MS = SENT_MS + 5_000


class DrillChecksTest(unittest.TestCase):
    def setUp(self):
        away = span.Span(BEGAN_MS, BACK_MS)
        departed = span.Span(DEPARTED_MS, REWRITTEN_MS)
        self.state = types.SimpleNamespace(
            outcomes=[],
            unplanned={'store': [away]},
            planned={},
            departed={'s1-d1': [departed]},
            drills=[drill.Drill(DEPARTED_MS - 10, BEGAN_MS, REWRITTEN_MS)],
            versions={7: DEPARTED_MS},
            cluster=types.SimpleNamespace(nodes={'n1': None, 'n2': None}),
        )

    def disturb(self, node, start_ms):
        self.state.planned[node] = [span.Span(start_ms, start_ms + 100)]

    def count_violations(self, kind):
        self.state.outcomes = [test_fault_soak_checks.make_outcome(kind)]
        records = [run_record.RunRecord(SENT_MS + 5, 'q1', 's1-d1')]
        return len(drill_checks.check_departed(self.state, records))

    def test_a_departed_searcher_that_is_back_is_found(self):
        """Guards against a soak that excuses it by the store's absence."""
        self.assertEqual(1, self.count_violations('one'))

    def test_a_gateway_that_has_restarted_knows_only_the_copy(self):
        """Guards against a soak that blames a process without memory."""
        self.disturb('n2', BACK_MS)
        self.assertEqual(1, self.count_violations('one'))
        self.assertEqual(0, self.count_violations('all'))
        self.disturb('n1', BACK_MS)
        self.assertEqual(0, self.count_violations('one'))

    def test_the_demand_of_a_failure_domain_comes_and_goes(self):
        """Guards against a wave that is the same everywhere, or stops one."""
        half_ms = demand_wave.PERIOD_MS // 2
        times = range(0, demand_wave.PERIOD_MS, 100)
        for domain in deployment.DOMAINS:
            found = [demand_wave.weight_at(domain, at_ms) for at_ms in times]
            self.assertGreater(min(found), 0)
            self.assertGreater(max(found), 10 * min(found))
        first, second = deployment.DOMAINS
        self.assertAlmostEqual(
            demand_wave.weight_at(first, half_ms),
            demand_wave.weight_at(second, 0),
        )

    def is_bound(self, now_ms):
        return contact.is_bound_to_version(self.state, 'n1', 7, now_ms)

    def test_a_version_binds_those_that_have_known_it(self):
        """Guards against a soak that excuses a version that goes back."""
        for now_ms in (BEGAN_MS + 100, BACK_MS + 100, REWRITTEN_MS):
            with self.subTest(now_ms=now_ms):
                self.assertTrue(self.is_bound(now_ms))

    def test_a_version_that_was_lost_binds_others_once_it_is_back(self):
        """Guards against a check before the operator has written again."""
        self.disturb('n1', BACK_MS)
        bound_ms = REWRITTEN_MS + deployment.CONFIG_APPLY_MS
        self.assertFalse(self.is_bound(bound_ms - 1))
        self.assertTrue(self.is_bound(bound_ms))

    def test_a_version_just_before_the_drill_binds_nobody_yet(self):
        """Guards against a check of a version that nobody may have seen."""
        self.state.versions[7] = BEGAN_MS - 100
        self.assertFalse(self.is_bound(BACK_MS + 100))
