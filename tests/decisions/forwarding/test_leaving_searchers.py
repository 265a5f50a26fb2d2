import dataclasses

from gypsumbridge_decisions import forwarding
from tests.decisions.forwarding import gateway_case

ANSWERED = forwarding.AttemptOutcome.ANSWERED
NOT_RUN = forwarding.AttemptOutcome.NOT_RUN


class LeavingSearchersTest(gateway_case.GatewayCase):
    def one_sent(self):
        (sent,) = gateway_case.sends(self.arrive('/one/x', 2_000))
        return sent

    def finish(self, sent, **fields):
        return self.handle(
            forwarding.AttemptEnded(
                sent.attempt_id, ANSWERED, 200, signature='sig', **fields
            )
        )

    def refuse(self, sent, retry_after_ms):
        return self.handle(
            forwarding.AttemptEnded(
                sent.attempt_id,
                NOT_RUN,
                503,
                retry_after_ms=retry_after_ms,
            )
        )

    def names_used(self, count=10):
        """Return the searchers that the next requests are sent to."""
        names = set()
        for _ in range(count):
            commands = self.arrive('/one/x', 2_000)
            for sent in gateway_case.sends(commands):
                names.add(sent.searcher.searcher_id)
                self.finish(sent)
        return names

    def test_a_searcher_that_says_it_leaves_gets_no_more_requests(self):
        """Guards against requests to a searcher that is about to exit."""
        sent = self.one_sent()
        (response,) = gateway_case.responses(self.finish(sent, leaving=True))
        self.assertEqual(200, response.status)
        self.now_ms += 60_000
        self.assertEqual({'s1-d2'}, self.names_used())

    def test_the_last_searcher_that_leaves_is_not_used_either(self):
        """Guards against a request that a leaving searcher may drop."""
        for name in ('s1-d1', 's1-d2'):
            sent = self.one_sent()
            self.assertEqual(name, sent.searcher.searcher_id)
            self.finish(sent, leaving=True)
        commands = self.arrive('/one/x', 2_000)
        self.assertEqual([], gateway_case.sends(commands))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(503, response.status)

    def test_a_restarted_searcher_is_used_again(self):
        """Guards against a searcher that is excluded for good."""
        self.finish(self.one_sent(), leaving=True)
        searchers = [
            dataclasses.replace(found, incarnation=7)
            for found in self.state.searchers['s1']
        ]
        self.publish(searchers)
        self.assertIn('s1-d1', self.names_used())

    def test_a_searcher_gets_nothing_until_its_stated_time(self):
        """Guards against requests that a full searcher asked not to get."""
        sent = self.one_sent()
        (again,) = gateway_case.sends(self.refuse(sent, 3_000))
        self.assertEqual('s1-d2', again.searcher.searcher_id)
        self.finish(again)
        self.publish([gateway_case.make_searcher('s1-d1', 's1')])
        self.now_ms += 2_990
        self.assertEqual(set(), self.names_used())
        self.now_ms += 20
        self.assertEqual({'s1-d1'}, self.names_used())

    def test_without_a_usable_searcher_a_request_is_refused_at_once(self):
        """Guards against waiting, and against a retry that comes too early."""
        for delay_ms in (3_000, 2_000):
            self.refuse(self.one_sent(), delay_ms)
            self.handle(forwarding.CallerDisconnected(self.last_call_id))
        self.now_ms += 500
        commands = self.arrive('/one/x', 4_000)
        (response,) = gateway_case.responses(commands)
        self.assertEqual(
            (503, 1_500), (response.status, response.retry_after_ms)
        )

    def test_an_excessive_time_is_limited(self):
        """Guards against a searcher that is lost because of one header."""
        self.refuse(self.one_sent(), 10**12)
        self.now_ms += 600_001
        self.assertIn('s1-d1', self.names_used())
