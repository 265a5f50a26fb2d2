import types
import unittest

from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import evacuation_checks
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import span
from tests.standins import test_fault_soak_checks

SENT_MS = test_fault_soak_checks.SENT_MS


class EvacuationChecksTest(unittest.TestCase):
    def count(self, late_ms, kind='one', searcher='s1-d1', disturbed=''):
        """Return the violations by a run so long after the bound."""
        start_ms = SENT_MS - deployment.EVACUATION_MS - late_ms
        cut = span.Span(start_ms, start_ms + 10)
        outcome = test_fault_soak_checks.make_outcome(kind)
        state = types.SimpleNamespace(
            outcomes=[outcome],
            cluster=types.SimpleNamespace(nodes=('n1', 'n2')),
            unplanned={disturbed: [cut]},
            planned={},
            evacuated={'d1': [span.Span(start_ms, start_ms + 7_000)]},
        )
        record = run_record.RunRecord(SENT_MS, 'q1', searcher)
        return len(evacuation_checks.check_evacuated(state, [record]))

    def test_only_requests_after_the_bound_are_found(self):
        """Guards against a soak that misses them, or blames other ones.

        Any gateway may send the parts of a gather.
        """
        for kind, by_other_node in (('one', 1), ('once', 1), ('all', 0)):
            self.assertEqual(1, self.count(1, kind))
            self.assertEqual(0, self.count(0, kind))
            self.assertEqual(0, self.count(2_001, kind))
            self.assertEqual(0, self.count(1, kind, 's1-d2'))
            for disturbed, expected in (
                ('n1', 0),
                ('store', 0),
                ('n2', by_other_node),
            ):
                found = self.count(1, kind, disturbed=disturbed)
                self.assertEqual(expected, found)
