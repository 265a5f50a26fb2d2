import collections
import dataclasses

from gypsumbridge_decisions import forwarding
from tests.decisions.forwarding import gateway_case

MISDIRECTED = forwarding.AttemptOutcome.MISDIRECTED
LOST = forwarding.AttemptOutcome.LOST
NOT_RUN = forwarding.AttemptOutcome.NOT_RUN
NOT_SENT = forwarding.AttemptOutcome.NOT_SENT


class ForwardTest(gateway_case.GatewayCase):
    def one_sent(self, target):
        (sent,) = gateway_case.sends(self.arrive(target, 2_000))
        return sent

    def test_a_request_that_may_have_run_is_not_sent_again(self):
        """Guards against a non-idempotent request that runs twice."""
        sent = self.one_sent('/once/x')
        commands = self.end(sent, LOST)
        self.assertEqual([], gateway_case.sends(commands))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(502, response.status)

    def test_a_non_idempotent_request_is_never_hedged(self):
        """Guards against a hedge that runs a request twice."""
        commands = self.arrive('/once/x', 2_000)
        events = [type(t.event) for t in gateway_case.timers(commands)]
        self.assertNotIn(forwarding.HedgeTimer, events)

    def test_a_request_that_was_certainly_not_run_is_sent_again(self):
        """Guards against an error although a second searcher is free."""
        for outcome in (NOT_RUN, NOT_SENT):
            with self.subTest(outcome=outcome):
                sent = self.one_sent('/once/x')
                (again,) = gateway_case.sends(self.end(sent, outcome))
                self.assertNotEqual(
                    sent.searcher.searcher_id, again.searcher.searcher_id
                )

    def test_a_request_refused_everywhere_is_refused_as_not_run(self):
        """Guards against a wrong or a missing guarantee of not running."""
        sent = self.one_sent('/once/x')
        (again,) = gateway_case.sends(self.end(sent, NOT_RUN, 503))
        commands = self.end(again, NOT_RUN, 503)
        (response,) = gateway_case.responses(commands)
        self.assertEqual(503, response.status)

    def test_a_searchers_unproved_503_is_not_relayed(self):
        """Guards against a guarantee that the searcher did not give."""
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                sent = self.one_sent('/once/x')
                commands = self.answer(sent, status=status)
                (response,) = gateway_case.responses(commands)
                self.assertEqual(502, response.status)
                self.assertEqual((), response.headers)

    def test_a_searchers_own_error_is_relayed_after_the_last_attempt(self):
        """Guards against an error response whose status is changed."""
        sent = self.one_sent('/one/x')
        (again,) = gateway_case.sends(self.answer(sent, status=500))
        commands = self.answer(again, b'oops', status=500)
        (response,) = gateway_case.responses(commands)
        self.assertEqual((500, b'oops'), (response.status, response.body))

    def test_a_success_without_signature_is_not_relayed(self):
        """Guards against a success that no searcher signed."""
        sent = self.one_sent('/once/x')
        commands = self.answer(sent, b'?', signature='')
        (response,) = gateway_case.responses(commands)
        self.assertEqual(502, response.status)

    def test_an_expired_request_that_was_sent_is_not_refused(self):
        """Guards against a 503 for a request that may have run."""
        self.one_sent('/once/x')
        self.now_ms += 2_000
        commands = self.handle(forwarding.ExpiryTimer(1))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(504, response.status)

    def test_the_route_timeout_bounds_the_time_given_to_a_searcher(self):
        """Guards against a deadline at the searcher after the caller's."""
        (sent,) = gateway_case.sends(self.arrive('/once/x', 9_000))
        self.assertEqual(2_000, sent.remaining_ms)
        (sent,) = gateway_case.sends(self.arrive('/once/x', 700))
        self.assertEqual(700, sent.remaining_ms)

    def test_requests_are_split_by_weight(self):
        """Guards against a split that deviates from its weights."""
        route = forwarding.Route(
            'split',
            'a.example',
            '/split/',
            True,
            (
                forwarding.WeightedService('s1', 3),
                forwarding.WeightedService('s2', 1),
            ),
            2_000,
            800,
            0,
            2,
        )
        table = gateway_case.make_table(2, (route,))
        self.handle(forwarding.RoutesChanged(table))
        counts = collections.Counter(
            self.one_sent('/split/x').searcher.service for _ in range(40)
        )
        self.assertEqual({'s1': 30, 's2': 10}, dict(counts))

    def test_unknown_paths_and_missing_routes_differ(self):
        """Guards against 404 from a node that has no routes yet."""
        (response,) = gateway_case.responses(self.arrive('/none/x'))
        self.assertEqual(404, response.status)
        self.state.table = None
        (response,) = gateway_case.responses(self.arrive('/one/x'))
        self.assertEqual(503, response.status)

    def test_a_stopping_node_refuses_new_requests_as_not_run(self):
        """Guards against requests that a stop would interrupt."""
        self.handle(forwarding.StopAccepting())
        (response,) = gateway_case.responses(self.arrive('/one/x'))
        self.assertEqual(503, response.status)

    def test_a_searcher_that_fails_repeatedly_is_avoided(self):
        """Guards against requests to a dead searcher in the same domain."""
        for _ in range(3):
            sent = self.one_sent('/once/x')
            if sent.searcher.searcher_id == 's1-d1':
                self.end(sent, LOST)
                continue
            self.answer(sent)
        sent = self.one_sent('/once/x')
        self.assertEqual('s1-d2', sent.searcher.searcher_id)

    def test_a_replaced_searcher_gets_no_requests(self):
        """Guards against requests that another service has to reject.

        They use the other service's retry allowance, but this node's budget
        for that service is not charged for them.
        """
        only = gateway_case.make_searcher('s1-d1', 's1')
        self.publish([only])
        sent = self.one_sent('/once/x')
        commands = self.end(sent, MISDIRECTED, 421)
        (response,) = gateway_case.responses(commands)
        self.assertEqual(503, response.status)
        (response,) = gateway_case.responses(self.arrive('/once/x'))
        self.assertEqual(503, response.status)
        self.publish([dataclasses.replace(only, incarnation=1)])
        self.one_sent('/once/x')

    def test_an_unreachable_searcher_is_avoided_at_once(self):
        """Guards against a second request to a host that is down."""
        sent = self.one_sent('/once/x')
        self.end(sent, NOT_SENT)
        again = self.one_sent('/once/x')
        self.assertNotEqual(
            sent.searcher.searcher_id, again.searcher.searcher_id
        )

    def test_the_last_searcher_is_used_although_it_fails(self):
        """Guards against ejecting every searcher of a service."""
        self.publish([gateway_case.make_searcher('s1-d1', 's1')])
        for _ in range(5):
            self.end(self.one_sent('/once/x'), LOST)
        self.assertEqual(
            's1-d1', self.one_sent('/once/x').searcher.searcher_id
        )


class RouteTableTest(gateway_case.GatewayCase):
    def test_the_longest_prefix_wins(self):
        """Guards against using a route that is less specific."""
        inner = forwarding.Route(
            'inner',
            'a.example',
            '/all/x/',
            True,
            (forwarding.WeightedService('s1'),),
            1,
            1,
            0,
            1,
        )
        table = gateway_case.make_table(2, (gateway_case.GATHER, inner))
        cases = {
            '/all/x/y': inner,
            '/all/x/': inner,
            '/all/x': gateway_case.GATHER,
            '/all/xy/z': gateway_case.GATHER,
            '/al': None,
        }
        for path, expected in cases.items():
            with self.subTest(path=path):
                found = forwarding.find_route(table, 'a.example', path)
                self.assertIs(expected, found)
        self.assertIsNone(forwarding.find_route(table, 'b.example', '/all/'))
