import dataclasses
import types
import unittest

from gypsumbridge_platform import header_names
from gypsumbridge_standins.fault_soak import answer_checks
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import fault_plan
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.fault_soak import run_checks
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import sent_request
from gypsumbridge_standins.fault_soak import span
from gypsumbridge_standins.users_platform import searcher_site

NAMES = header_names.HEADERS
SENT_MS = 100_000
ALL_RECORDS = sorted(
    (
        searcher_site.records_of(service, '/all/1')[n : n + 16]
        for service in deployment.SERVICES
        for n in range(0, 16 * searcher_site.RECORDS, 16)
    ),
    reverse=True,
)


def make_outcome(kind='once', status=200, took_ms=50, number=1, **changes):
    request = sent_request.SentRequest(
        f'q{number}', kind, f'/{kind}/1', 'n1', SENT_MS, SENT_MS + 4_000
    )
    outcome = outcomes.Outcome(
        request, SENT_MS + took_ms, status, {}, b'', False
    )
    return dataclasses.replace(outcome, **changes)


def make_gathered():
    signatures = [f'{service}-d1.q1' for service in deployment.SERVICES]
    return make_outcome(
        'all',
        headers={NAMES.part_signatures: ', '.join(signatures)},
        body=b''.join(ALL_RECORDS[: deployment.TOP_K]),
    )


class AnswerChecksTest(unittest.TestCase):
    def count_violations(self, outcome):
        return len(answer_checks.check_answer(outcome))

    def test_a_correct_merge_passes(self):
        """Guards against a soak that rejects correct responses."""
        self.assertEqual(0, self.count_violations(make_gathered()))

    def test_wrong_merges_are_found(self):
        """Guards against a soak that accepts wrong merges."""
        gathered = make_gathered()
        listed = gathered.headers[NAMES.part_signatures]
        for headers in (
            {NAMES.part_signatures: listed.replace('q1', 'q2', 1)},
            {NAMES.part_signatures: listed.replace('s1-', 's2-', 1)},
            {NAMES.part_signatures: listed, NAMES.missing_parts: '1'},
            {NAMES.part_signatures: 's1-d1.q1', NAMES.missing_parts: '5'},
            {},
        ):
            with self.subTest(headers=headers):
                outcome = dataclasses.replace(gathered, headers=headers)
                self.assertEqual(1, self.count_violations(outcome))
        short = dataclasses.replace(gathered, body=gathered.body[:-16])
        self.assertEqual(1, self.count_violations(short))

    def test_wrong_relays_are_found(self):
        """Guards against a soak that accepts a foreign or truncated body."""
        body = searcher_site.records_of('s1', '/one/1')
        signed = {NAMES.signature: 's1-d1.q1'}
        foreign = {NAMES.signature: 's1-d1.q2'}
        for headers, content, status, expected in (
            (signed, body, 200, 0),
            (signed, body[:-1], 200, 1),
            (signed, b'', 503, 1),
            (foreign, body, 200, 1),
            ({}, body, 200, 1),
            ({}, b'', 404, 1),
        ):
            outcome = make_outcome(
                'one', status, headers=headers, body=content
            )
            self.assertEqual(expected, self.count_violations(outcome))


class RunChecksTest(unittest.TestCase):
    def setUp(self):
        self.state = types.SimpleNamespace(
            outcomes=[], unplanned={}, planned={}, draining={}, forwarded_ms={}
        )

    def count_violations(self, runs=()):
        records = [
            run_record.RunRecord(SENT_MS + at_ms, request_id, searcher_id)
            for at_ms, request_id, searcher_id in runs
        ]
        return len(run_checks.check_runs(self.state, records))

    def test_an_unsafe_request_that_ran_twice_is_found(self):
        """Guards against a soak that misses a second run of a request."""
        self.state.outcomes = [make_outcome()]
        self.assertEqual(0, self.count_violations([(5, 'q1', 's2-d1')]))
        twice = [(5, 'q1', 's2-d1'), (9, 'q1', 's2-d2')]
        self.assertEqual(1, self.count_violations(twice))

    def test_a_false_refusal_is_found(self):
        """Guards against a soak that accepts a refusal of what ran."""
        self.state.outcomes = [make_outcome(status=503)]
        self.assertEqual(0, self.count_violations())
        self.assertEqual(1, self.count_violations([(900, 'q1', 's2-d1')]))

    def test_too_many_attempts_are_found(self):
        """Guards against a soak that adds up attempts of all services."""
        runs = [(1, 'q1', 's1-d1'), (2, 'q1', 's1-d2'), (3, 'q1', 's2-d1')]
        self.assertEqual(0, self.count_violations(runs))
        self.assertEqual(1, self.count_violations([*runs, (4, 'q1', 's1-d1')]))

    def test_an_exceeded_retry_budget_is_found(self):
        """Guards against a soak that misses a retry storm."""
        runs = []
        for number in range(deployment.ALLOWANCE + 1):
            runs += [(number, f'q{number}', f's1-d{d}') for d in (1, 2)]
        self.assertEqual(0, self.count_violations(runs[:-2]))
        self.assertEqual(1, self.count_violations(runs))

    def test_requests_to_a_draining_searcher_are_found(self):
        """Guards against a soak that misses requests after the bound."""
        self.state.outcomes = [make_outcome('one')]
        runs = [(5, 'q1', 's1-d1')]
        since = SENT_MS - deployment.DRAIN_MS
        for start_ms, expected in ((since - 10, 1), (since + 10, 0)):
            drain_span = span.Span(start_ms, SENT_MS + 1_000)
            self.state.draining = {'s1-d1': [drain_span]}
            self.assertEqual(expected, self.count_violations(runs))
        self.state.draining = {'s1-d1': [span.Span(since - 10, SENT_MS)]}
        self.assertEqual(0, self.count_violations(runs))

    def test_requests_that_a_frozen_searcher_reads_late_are_no_violation(self):
        """Guards against a soak that blames gateways for a frozen searcher.

        Seed 714: both requests were sent 0.2 s into a drain and had ended
        53 ms later; a searcher that was frozen read them after 3.4 s.
        """
        drain = span.Span(SENT_MS - 200, SENT_MS + 9_000)
        self.state.draining = {'s1-d1': [drain]}
        runs = [(3_200, 'q1', 's1-d1')]
        for took_ms, expected in ((53, 0), (3_300, 1)):
            self.state.outcomes = [make_outcome('one', took_ms=took_ms)]
            self.assertEqual(expected, self.count_violations(runs))

    def test_requests_after_a_close_are_found(self):
        """Guards against a soak that misses requests without a caller."""
        self.state.outcomes = [
            make_outcome('one', 0, number=number, gave_up=True)
            for number in range(4)
        ]
        runs = [(900, f'q{number}', 's1-d1') for number in range(4)]
        self.assertEqual(0, self.count_violations(runs[:-1]))
        self.assertEqual(4, self.count_violations(runs))

    def test_a_lost_request_is_found_unless_a_fault_explains_it(self):
        """Guards against a soak that excuses every loss by its faults."""
        self.state.outcomes = [make_outcome(status=0)]
        self.assertEqual(0, self.count_violations())
        runs = [(5, 'q1', 's2-d1')]
        self.assertEqual(1, self.count_violations(runs))
        self.state.planned = {'n1': [span.Span(SENT_MS, SENT_MS + 10)]}
        self.assertEqual(1, self.count_violations(runs))
        self.state.unplanned = {'n1': [span.Span(SENT_MS, SENT_MS + 10)]}
        self.assertEqual(0, self.count_violations(runs))

    def test_a_request_that_no_gateway_got_is_no_loss(self):
        """Guards against reports of losses by the soak's own proxies."""
        self.state.outcomes = [make_outcome(status=0, took_ms=300)]
        self.assertEqual(0, self.count_violations())
        self.state.forwarded_ms = {'q1': SENT_MS + 150}
        self.assertEqual(0, self.count_violations())
        self.state.forwarded_ms = {'q1': SENT_MS + 90}
        self.assertEqual(1, self.count_violations())
        self.state.forwarded_ms = {}
        self.assertEqual(1, self.count_violations([(5, 'q1', 's2-d1')]))

    def test_requests_that_are_held_are_found(self):
        """Guards against a soak that misses responses after the timeout."""
        self.state.outcomes = [
            make_outcome(status=504, took_ms=2_600) for _ in range(8)
        ]
        self.assertEqual(8, self.count_violations())
        self.state.outcomes += [
            make_outcome(status=504, took_ms=2_100) for _ in range(8)
        ]
        self.assertEqual(0, self.count_violations())


class FaultPlanTest(unittest.TestCase):
    def test_a_seed_gives_its_plan(self):
        """Guards against a failure that its seed cannot reproduce."""
        first = fault_plan.draw_plan(8, 20, 4)
        self.assertEqual(first, fault_plan.draw_plan(8, 20, 4))
        self.assertNotEqual(first, fault_plan.draw_plan(9, 20, 4))
