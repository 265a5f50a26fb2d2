from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case


class StoppingTest(gateway_case.GatewayCase):
    def end_requests(self):
        return gateway_case.responses(self.handle(messages.EndRequests()))

    def test_a_request_that_may_have_run_is_not_refused(self):
        """Guards against a refusal that promises too much at the exit."""
        self.arrive('/once/x', deadline_ms=2_000)
        (response,) = self.end_requests()
        self.assertEqual(502, response.status)

    def test_a_request_that_was_not_run_is_refused(self):
        """Guards against a caller that cannot repeat a request."""
        commands = self.arrive('/once/x', deadline_ms=2_000)
        for searcher in ('s1-d1', 's1-d2'):
            (sent,) = gateway_case.sends(commands)
            self.state.health[searcher].leaving = True
            commands = self.end(sent, forwarding.AttemptOutcome.NOT_SENT)
        responses = gateway_case.responses(commands) or self.end_requests()
        self.assertEqual([503], [r.status for r in responses])

    def test_a_gather_is_answered_with_its_parts(self):
        """Guards against parts that are thrown away at the exit."""
        sent = gateway_case.sends(self.arrive())
        for attempt in sent[:3]:
            self.answer(attempt, b'a' * 16)
        (response,) = self.end_requests()
        self.assertEqual(200, response.status)
        self.assertEqual(1, response.missing_parts)

    def test_a_delegated_gather_is_answered(self):
        """Guards against gathers of other nodes that are never answered."""
        coordinator = relaying.PeerNode('c1', '', 'd1', 100.0, '10.0.0.9:1')
        own = relaying.PeerNode('n1', '', 'd1', 10.0, '10.0.0.8:1')
        self.handle(forwarding.NodesChanged((coordinator, own)))
        commands = self.arrive()
        self.assertEqual(1, len(gateway_case.delegations(commands)))
        self.assertEqual(1, len(self.end_requests()))
        self.assertEqual([], self.end_requests())
