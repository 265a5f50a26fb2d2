import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case

DIGEST = b'd' * 32
OTHER_DIGEST = b'e' * 32
CUSTOMERS = forwarding.CustomerTable(
    {
        'limited': forwarding.Customer('limited', 1, 2.0, 4.0),
        'free': forwarding.Customer('free'),
    },
    {DIGEST: 'limited', OTHER_DIGEST: 'free'},
)
Outcome = quotas.AdmissionOutcome


def with_customers(table):
    return dataclasses.replace(table, customers=CUSTOMERS)


def asked(commands):
    return [c for c in commands if isinstance(c, quotas.AdmissionRequest)]


class AdmissionTest(gateway_case.GatewayCase):
    def setUp(self):
        super().setUp()
        table = with_customers(gateway_case.make_table(2))
        self.handle(forwarding.RoutesChanged(table))

    def call(self, target='/one/x', deadline_ms=600, digest=DIGEST):
        self.last_call_id += 1
        return self.handle(
            forwarding.CallerRequest(
                self.last_call_id,
                f'r-{self.last_call_id}',
                'GET',
                'a.example',
                target,
                (),
                b'',
                deadline_ms,
                self.now_ms,
                key_digest=digest,
            )
        )

    def end(self, outcome, retry_after_ms=0):
        return self.handle(
            quotas.AdmissionResult(self.last_call_id, outcome, retry_after_ms)
        )

    def assert_refused(self, commands, status, retry_after_ms, reason):
        (response,) = gateway_case.responses(commands)
        self.assertEqual(
            (status, retry_after_ms),
            (response.status, response.retry_after_ms),
        )
        self.assertEqual([], gateway_case.sends(commands))
        self.assertIn(messages.Count(f'forwarding.refused.{reason}'), commands)
        (line,) = [c for c in commands if isinstance(c, messages.Decision)]
        self.assertEqual(
            ('request_refused', reason, 'limited'),
            (line.name, line.reason, line.fields['customer']),
        )

    def test_nothing_is_sent_before_the_admission(self):
        """Guards against a refusal of a request that a searcher runs."""
        for target, parts in (('/one/x', 1), ('/all/x', 4)):
            commands = self.call(target)
            self.assertEqual(
                [
                    quotas.AdmissionRequest(
                        self.last_call_id,
                        f'r-{self.last_call_id}',
                        'limited',
                        600,
                    )
                ],
                asked(commands),
            )
            self.assertEqual([], gateway_case.sends(commands))
            sent = gateway_case.sends(self.end(Outcome.ADMITTED))
            self.assertEqual(parts, len(sent))
            self.assertEqual('limited', sent[0].request.customer)

    def test_a_customer_without_a_quota_does_not_wait(self):
        """Guards against a round trip for customers without a limit."""
        commands = self.call(digest=OTHER_DIGEST)
        self.assertEqual([], asked(commands))
        self.assertEqual(1, len(gateway_case.sends(commands)))

    def test_refusals_state_when_to_come_back(self):
        """Guards against callers that repeat at once, or give up."""
        self.call()
        commands = self.end(Outcome.OVER_QUOTA, 170)
        self.assert_refused(commands, 429, 170, 'over_quota')
        self.call()
        commands = self.end(Outcome.UNKNOWN, 50)
        self.assert_refused(commands, 503, 50, 'quota_unknown')
        self.assertEqual([], self.end(Outcome.ADMITTED))

    def test_the_versions_found_on_arrival_are_kept(self):
        """Guards against a request that changes its route while it waits."""
        self.call()
        moved = dataclasses.replace(
            gateway_case.IDEMPOTENT,
            targets=(forwarding.WeightedService('s2'),),
        )
        table = gateway_case.make_table(3, (moved,))
        self.handle(forwarding.RoutesChanged(with_customers(table)))
        (sent,) = gateway_case.sends(self.end(Outcome.ADMITTED))
        self.assertEqual('s1', sent.searcher.service)
        self.assertEqual(2, self.state.exchanges[self.last_call_id].version)

    def test_a_request_that_waits_too_long_is_refused(self):
        """Guards against a caller without an answer, and a lost token."""
        commands = self.call()
        (timer,) = gateway_case.timers(commands)
        self.assertEqual(600, timer.delay_ms)
        self.now_ms += 600
        commands = self.handle(timer.event)
        self.assertIn(quotas.AdmissionCancelled(self.last_call_id), commands)
        self.assert_refused(commands, 503, 50, 'deadline_passed')
        self.assertEqual([], self.end(Outcome.ADMITTED))

    def test_an_admission_after_the_deadline_is_refused(self):
        """Guards against a request that is sent without time to run."""
        self.call()
        self.now_ms += 600
        commands = self.end(Outcome.ADMITTED)
        self.assertEqual([], gateway_case.sends(commands))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(503, response.status)

    def test_a_caller_that_leaves_gets_no_token(self):
        """Guards against tokens that are used for nobody."""
        self.call()
        commands = self.handle(
            forwarding.CallerDisconnected(self.last_call_id)
        )
        self.assertIn(quotas.AdmissionCancelled(self.last_call_id), commands)
        self.assertEqual([], gateway_case.responses(commands))
        self.assertEqual([], self.end(Outcome.ADMITTED))

    def test_the_end_of_the_node_ends_what_waits(self):
        """Guards against callers without an answer at a stop."""
        self.call()
        self.handle(forwarding.StopAccepting())
        commands = self.handle(messages.EndRequests())
        self.assert_refused(commands, 503, 50, 'draining')
        self.assertEqual({}, self.state.waiting)

    def test_only_the_node_that_was_called_asks(self):
        """Guards against a gather that is charged twice."""
        coordinator = relaying.PeerNode('c1', '', 'd1', 100.0, '10.0.0.9:1')
        own = relaying.PeerNode('n1', '', 'd1', 10.0, '10.0.0.8:1')
        self.handle(forwarding.NodesChanged((coordinator, own)))
        commands = self.call('/all/x')
        self.assertEqual([], gateway_case.delegations(commands))
        commands = self.end(Outcome.ADMITTED)
        (delegation,) = gateway_case.delegations(commands)
        request = dataclasses.replace(delegation.delegated.request, call_id=-1)
        commands = self.handle(
            dataclasses.replace(delegation.delegated, request=request)
        )
        self.assertEqual([], asked(commands))
        self.assertEqual(4, len(gateway_case.sends(commands)))
