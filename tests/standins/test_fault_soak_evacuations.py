import types
import unittest

from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import evacuation_checks
from gypsumbridge_standins.fault_soak import fault_plan
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import sent_request
from gypsumbridge_standins.fault_soak import span

START_MS = 100_000
END_MS = START_MS + 8_000


class EvacuationChecksTest(unittest.TestCase):
    def count(self, at_ms, kind='one', took_ms=50, searcher='s1-d1', **spans):
        """Return the violations by a run; `spans` are disturbances."""
        sent_ms = START_MS + at_ms
        request = sent_request.SentRequest(
            'q1', kind, '/', 'n1', sent_ms, sent_ms + 4_000
        )
        state = types.SimpleNamespace(
            outcomes=[
                outcomes.Outcome(
                    request, sent_ms + took_ms, 200, {}, b'', False
                )
            ],
            cluster=types.SimpleNamespace(nodes=('n1', 'n2')),
            unplanned={n: [span.Span(*s)] for n, s in spans.items()},
            planned={},
            evacuated={'d1': [span.Span(START_MS, END_MS)]},
        )
        record = run_record.RunRecord(sent_ms + 40, 'q1', searcher)
        return len(evacuation_checks.check_evacuated(state, [record]))

    def test_a_request_after_the_bound_is_found(self):
        """Guards against a soak that misses late requests."""
        bound_ms = deployment.EVACUATION_MS - 40
        for kind in ('one', 'once', 'all'):
            self.assertEqual(0, self.count(bound_ms, kind))
            self.assertEqual(1, self.count(bound_ms + 1, kind))

    def test_allowed_requests_are_not_reported(self):
        """Guards against a soak that blames a gateway without a fault."""
        late_ms = deployment.EVACUATION_MS + 1_000
        self.assertEqual(0, self.count(late_ms, searcher='s1-d2'))
        self.assertEqual(0, self.count(9_000))
        cut = (START_MS, START_MS + 10)
        self.assertEqual(0, self.count(late_ms, n1=cut))
        self.assertEqual(0, self.count(late_ms, store=cut))
        # Another gateway may send the parts of a gather.
        self.assertEqual(1, self.count(late_ms, n2=cut))
        self.assertEqual(0, self.count(late_ms, 'all', n2=cut))

    def test_seeds_draw_evacuations(self):
        """Guards against a soak that never evacuates."""
        kinds = [
            fault.kind
            for seed in range(20)
            for fault in fault_plan.draw_plan(seed, 12, 4).faults
        ]
        self.assertGreater(kinds.count('evacuate'), 20)
