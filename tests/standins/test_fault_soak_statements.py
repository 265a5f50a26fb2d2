import types
import unittest

from gypsumbridge_platform import header_names
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import sent_request
from gypsumbridge_standins.fault_soak import span
from gypsumbridge_standins.fault_soak import statement_checks
from gypsumbridge_standins.users_platform import searcher_site

NAMES = header_names.HEADERS
START_MS = 100_000
TOOK_MS = 50
LEAVING = 's1-d1'


class StatementChecksTest(unittest.TestCase):
    def setUp(self):
        self.state = types.SimpleNamespace(
            outcomes=[],
            unplanned={},
            planned={},
            leaving={LEAVING: [span.Span(START_MS, START_MS + 20_000)]},
        )
        self.records = []

    def add(self, at_ms, node='n1', kind='one', leaving=True, refused=False):
        number = len(self.state.outcomes)
        request_id = f'q{number}'
        sent_ms = START_MS + at_ms
        headers = {NAMES.signature: f'{LEAVING}.{request_id}'}
        if leaving:
            headers[NAMES.leaving] = '1'
        self.state.outcomes.append(
            outcomes.Outcome(
                sent_request.SentRequest(
                    request_id, kind, '/', node, sent_ms, sent_ms + 4_000
                ),
                sent_ms + TOOK_MS,
                503 if refused else 200,
                headers,
                b'',
                False,
            )
        )
        self.records.append(
            run_record.RunRecord(sent_ms + 5, request_id, LEAVING, refused)
        )

    def count_leaving(self):
        found = statement_checks.check_leaving(self.state, self.records)
        return len(found)

    def count_refusals(self):
        found = statement_checks.check_refusals(self.state, self.records)
        return len(found)

    def test_a_request_after_a_statement_is_found(self):
        """Guards against a soak that misses requests after the bound."""
        late_ms = TOOK_MS + deployment.DRAIN_MS
        for at_ms, expected in ((late_ms, 0), (late_ms + 1, 1)):
            with self.subTest(at_ms=at_ms):
                self.setUp()
                self.add(0)
                self.add(at_ms)
                self.assertEqual(expected, self.count_leaving())

    def test_requests_that_no_statement_precedes_are_allowed(self):
        """Guards against a soak that blames a gateway that was not told."""
        self.add(0, node='n2')
        self.add(10, leaving=False)
        self.add(20, kind='all')
        self.add(9_000)
        self.assertEqual(0, self.count_leaving())

    def test_a_restart_excuses_a_gateway(self):
        """Guards against a soak that expects memory over a restart."""
        self.add(0)
        self.add(9_000)
        self.assertEqual(1, self.count_leaving())
        restart = span.Span(START_MS + 1_000, START_MS + 2_000)
        self.state.planned = {'n1': [restart]}
        self.assertEqual(0, self.count_leaving())

    def test_requests_during_a_stated_time_are_found(self):
        """Guards against a soak that misses requests after a refusal."""
        soon = statement_checks.REFUSAL_NOTICE_MS
        end = searcher_site.RETRY_AFTER_MS
        cases = (
            ((0, soon - 40, soon, end, end + 10), 0),
            ((0, soon + 10, soon + 20), 0),
            ((0, soon + 10, soon + 20, soon + 30), 1),
        )
        for times, expected in cases:
            with self.subTest(times=times):
                self.setUp()
                for at_ms in times:
                    self.add(at_ms, refused=True)
                self.assertEqual(expected, self.count_refusals())


if __name__ == '__main__':
    unittest.main()
