from gypsumbridge_decisions import forwarding
from tests.decisions.forwarding import gateway_case

Outcome = forwarding.AttemptOutcome


class UnresponsiveConnectionsTest(gateway_case.GatewayCase):
    def hedge(self, answered):
        first = gateway_case.sends(self.arrive())
        for sent in first[:answered]:
            self.answer(sent)
        return self.hedge_again()

    def hedge_again(self):
        return gateway_case.sends(
            self.handle(forwarding.HedgeTimer(self.last_call_id))
        )

    def test_a_slow_node_postpones_its_hedges(self):
        """Guards against 90 hedges by a node that reads too slowly."""
        self.assertEqual([], self.hedge(answered=1))
        self.assertEqual(3, len(self.hedge_again()))

    def test_hedges_are_not_postponed_until_they_are_too_late(self):
        """Guards against hedges that arrive after the partial response.

        On abl-gypsum-grown scale-1 postponed hedges were sent 20 ms before
        it, and most of their parts were missing from it.
        """
        window = forwarding.latency_window_for(self.state, gateway_case.GATHER)
        window.median_ms = 30
        self.arrive()
        answer_ms = self.state.exchanges[self.last_call_id].answer_ms
        self.now_ms += 45
        commands = self.handle(forwarding.HedgeTimer(self.last_call_id))
        (timer,) = gateway_case.timers(commands)
        self.assertEqual(answer_ms - 30, self.now_ms + timer.delay_ms)

    def test_hedges_use_new_connections_when_no_part_is_answered(self):
        """Guards against a second attempt over an unresponsive connection.

        Fault soak seed 8: all idle connections to both failure domains
        dropped their data, and all parts timed out.
        """
        self.hedge(answered=0)
        hedges = self.hedge_again()
        self.assertEqual([0] * 4, [sent.max_idle_ms for sent in hedges])

    def test_one_slow_searcher_causes_no_new_connection(self):
        """Guards against a new connection for every hedge."""
        (hedge,) = self.hedge(answered=3)
        self.assertGreater(hedge.max_idle_ms, 0)

    def test_a_hedge_does_not_use_long_idle_connections(self):
        """Guards against unresponsive connections to a few searchers.

        Plan silent_connections of the fault soak, under concurrent load:
        two of six parts were sent, and hedged, over connections that had
        been idle for 12 s and were already dropping their data.
        """
        (hedge,) = self.hedge(answered=3)
        self.assertLess(hedge.max_idle_ms, 12_000)

    def test_a_retry_after_a_lost_connection_uses_a_new_one(self):
        """Guards against a retry over a connection that is lost, too."""
        (sent,) = gateway_case.sends(self.arrive('/one/x', 2_000))
        self.assertIsNone(sent.max_idle_ms)
        (retry,) = gateway_case.sends(self.end(sent, Outcome.LOST))
        self.assertEqual(0, retry.max_idle_ms)
