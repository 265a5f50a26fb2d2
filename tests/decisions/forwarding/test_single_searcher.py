from gypsumbridge_decisions import forwarding
from tests.decisions.forwarding import gateway_case


class SingleSearcherTest(gateway_case.GatewayCase):
    def setUp(self):
        super().setUp()
        self.publish(
            [
                gateway_case.make_searcher(f's{n}-d1', f's{n}')
                for n in (1, 2, 3, 4)
            ]
        )

    def test_it_is_hedged_over_a_new_connection(self):
        """Guards against parts that are lost on a silent connection.

        Fault soak, plan of seed 8 with services of one searcher: parts were
        missing until every silent connection had timed out.
        """
        sent = gateway_case.sends(self.arrive())
        for one in sent[:3]:
            self.answer(one)
        self.now_ms += 30
        commands = self.handle(forwarding.HedgeTimer(self.last_call_id))
        (hedge,) = gateway_case.sends(commands)
        self.assertEqual(sent[3].searcher, hedge.searcher)
        self.assertEqual(0, hedge.max_idle_ms)

    def test_a_failed_attempt_is_not_repeated_there(self):
        """Guards against more load on a searcher that is in trouble."""
        sent = gateway_case.sends(self.arrive())
        for outcome in (
            forwarding.AttemptOutcome.LOST,
            forwarding.AttemptOutcome.NOT_RUN,
            forwarding.AttemptOutcome.NOT_SENT,
        ):
            with self.subTest(outcome=outcome):
                commands = self.end(sent.pop(), outcome)
                self.assertEqual([], gateway_case.sends(commands))
