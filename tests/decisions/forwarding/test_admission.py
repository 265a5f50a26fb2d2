import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case

LIMITED = b'd' * 32
FREE = b'e' * 32
CUSTOMERS = forwarding.CustomerTable(
    {
        'limited': forwarding.Customer('limited', 1, 2.0, 4.0),
        'free': forwarding.Customer('free'),
    },
    {LIMITED: 'limited', FREE: 'free'},
)
Outcome = quotas.AdmissionOutcome


def make_table(version, *routes):
    table = gateway_case.make_table(version, *routes)
    return dataclasses.replace(table, customers=CUSTOMERS)


def asked(commands):
    return [c for c in commands if isinstance(c, quotas.AdmissionRequest)]


class AdmissionTest(gateway_case.GatewayCase):
    def setUp(self):
        super().setUp()
        self.handle(forwarding.RoutesChanged(make_table(2)))
        self.request = forwarding.CallerRequest(
            0, 'r', 'GET', 'a.example', '/one/x', (), b'', 600, self.now_ms
        )

    def call(self, target='/one/x', digest=LIMITED):
        self.last_call_id += 1
        request = dataclasses.replace(
            self.request,
            call_id=self.last_call_id,
            target=target,
            key_digest=digest,
        )
        return self.handle(request)

    def admit(self, outcome=Outcome.ADMITTED, retry_after_ms=0):
        return self.handle(
            quotas.AdmissionResult(self.last_call_id, outcome, retry_after_ms)
        )

    def assert_refused(self, commands, status, retry_after_ms, reason):
        """Check a refusal, and that a late admission has no effect."""
        (response,) = gateway_case.responses(commands)
        found = response.status, response.retry_after_ms
        self.assertEqual((status, retry_after_ms), found)
        self.assertEqual([], gateway_case.sends(commands))
        self.assertIn(messages.Count(f'forwarding.refused.{reason}'), commands)
        (line,) = [c for c in commands if isinstance(c, messages.Decision)]
        found = line.name, line.reason, line.fields['customer']
        self.assertEqual(('request_refused', reason, 'limited'), found)
        self.assertEqual([], self.admit())

    def test_nothing_is_sent_before_the_admission(self):
        """Guards against a refusal of a request that a searcher runs, and
        against customers without a quota that wait.
        """
        for target, parts in (('/one/x', 1), ('/all/x', 4)):
            commands = self.call(target)
            expected = quotas.AdmissionRequest(
                self.last_call_id, 'r', 'limited', 600
            )
            self.assertEqual([expected], asked(commands))
            self.assertEqual([], gateway_case.sends(commands))
            sent = gateway_case.sends(self.admit())
            self.assertEqual(parts, len(sent))
            self.assertEqual('limited', sent[0].request.customer)
        commands = self.call(digest=FREE)
        self.assertEqual([], asked(commands))
        self.assertEqual(1, len(gateway_case.sends(commands)))

    def test_refusals_state_when_to_come_back(self):
        """Guards against callers that repeat at once, or give up."""
        self.call()
        commands = self.admit(Outcome.OVER_QUOTA, 170)
        self.assert_refused(commands, 429, 170, 'over_quota')
        self.call()
        commands = self.admit(Outcome.UNKNOWN, 50)
        self.assert_refused(commands, 503, 50, 'quota_unknown')

    def test_the_route_found_on_arrival_is_kept(self):
        """Guards against a request that changes its route while it waits."""
        self.call()
        targets = (forwarding.WeightedService('s2'),)
        moved = dataclasses.replace(gateway_case.IDEMPOTENT, targets=targets)
        self.handle(forwarding.RoutesChanged(make_table(3, (moved,))))
        (sent,) = gateway_case.sends(self.admit())
        self.assertEqual('s1', sent.searcher.service)
        exchange = self.state.exchanges[self.last_call_id]
        self.assertEqual(2, exchange.version)

    def test_a_request_without_time_left_is_refused(self):
        """Guards against a caller without an answer, and a lost token."""
        (timer,) = gateway_case.timers(self.call())
        self.assertEqual(600, timer.delay_ms)
        self.now_ms += 600
        commands = self.handle(timer.event)
        self.assertIn(quotas.AdmissionCancelled(self.last_call_id), commands)
        self.assert_refused(commands, 503, 50, 'deadline_passed')
        self.now_ms -= 600
        self.call()
        self.now_ms += 600
        commands = self.admit()
        self.assertEqual([], gateway_case.sends(commands))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(503, response.status)

    def test_a_caller_that_leaves_gets_no_token(self):
        """Guards against tokens that are used for nobody."""
        self.call()
        gone = forwarding.CallerDisconnected(self.last_call_id)
        commands = self.handle(gone)
        self.assertIn(quotas.AdmissionCancelled(self.last_call_id), commands)
        self.assertEqual([], gateway_case.responses(commands))
        self.assertEqual([], self.admit())

    def test_the_end_of_the_node_ends_what_waits(self):
        """Guards against callers without an answer at a stop."""
        self.call()
        self.handle(forwarding.StopAccepting())
        commands = self.handle(messages.EndRequests())
        self.assert_refused(commands, 503, 50, 'draining')

    def test_only_the_node_that_was_called_asks(self):
        """Guards against a gather that is charged twice."""
        coordinator = relaying.PeerNode('c1', '', 'd1', 100.0, '10.0.0.9:1')
        own = relaying.PeerNode('n1', '', 'd1', 10.0, '10.0.0.8:1')
        self.handle(forwarding.NodesChanged((coordinator, own)))
        self.assertEqual([], gateway_case.delegations(self.call('/all/x')))
        (sent,) = gateway_case.delegations(self.admit())
        request = dataclasses.replace(sent.delegated.request, call_id=-1)
        commands = self.handle(
            dataclasses.replace(sent.delegated, request=request)
        )
        self.assertEqual([], asked(commands))
        self.assertEqual(4, len(gateway_case.sends(commands)))
