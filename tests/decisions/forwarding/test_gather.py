from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from tests.decisions.forwarding import gateway_case

LOST = forwarding.AttemptOutcome.LOST
NOT_RUN = forwarding.AttemptOutcome.NOT_RUN
NOT_SENT = forwarding.AttemptOutcome.NOT_SENT


def record(value):
    return bytes([value]) * 16


class GatherTest(gateway_case.GatewayCase):
    def arrive_sent(self):
        return gateway_case.sends(self.arrive())

    def test_the_greatest_records_of_all_parts_are_returned(self):
        """Guards against a merge that is not the greatest K, descending."""
        bodies = (record(3) + record(9), record(5), record(9) + b'rest', b'')
        commands = []
        for sent, body in zip(self.arrive_sent(), bodies, strict=True):
            commands += self.answer(sent, body)
        (response,) = gateway_case.responses(commands)
        self.assertEqual(200, response.status)
        self.assertEqual(record(9) + record(9), response.body)
        self.assertEqual(0, response.missing_parts)
        self.assertEqual(4, len(set(response.part_signatures)))

    def test_each_service_gets_one_attempt_at_its_own_domain(self):
        """Guards against unnecessary traffic between failure domains."""
        chosen = {s.searcher.searcher_id for s in self.arrive_sent()}
        self.assertEqual({'s1-d1', 's2-d1', 's3-d1', 's4-d1'}, chosen)

    def test_the_objective_ends_a_gather_that_covers_enough(self):
        """Guards against a late response where a partial one suffices."""
        sent = self.arrive_sent()
        for found in sent[:3]:
            self.answer(found, record(1))
        commands = self.handle(forwarding.ObjectiveTimer(1, self.now_ms))
        (response,) = gateway_case.responses(commands)
        self.assertEqual((200, 1), (response.status, response.missing_parts))
        self.assertEqual(3, len(response.part_signatures))

    def test_a_gather_below_its_coverage_waits_past_the_objective(self):
        """Guards against a success that includes too few parts."""
        sent = self.arrive_sent()
        for found in sent[:2]:
            self.answer(found, record(1))
        commands = self.handle(forwarding.ObjectiveTimer(1, self.now_ms))
        self.assertEqual([], gateway_case.responses(commands))
        commands = self.answer(sent[2], record(1))
        (response,) = gateway_case.responses(commands)
        self.assertEqual((200, 1), (response.status, response.missing_parts))

    def test_an_expired_gather_below_its_coverage_fails(self):
        """Guards against a request without a final response."""
        sent = self.arrive_sent()
        self.answer(sent[0], record(1))
        self.now_ms += 600
        commands = self.handle(forwarding.ExpiryTimer(1))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(504, response.status)
        self.assertEqual((), response.part_signatures)

    def test_an_unsigned_or_failed_response_is_no_part(self):
        """Guards against a part that no searcher has signed."""
        sent = self.arrive_sent()
        self.answer(sent[0], record(1), signature='')
        self.answer(sent[1], record(1), status=500)
        for found in sent[2:]:
            self.answer(found, record(1))
        exchange = self.state.exchanges[1]
        self.assertIsNone(exchange.part('s1').answer)
        self.assertIsNone(exchange.part('s2').answer)

    def test_a_late_response_after_the_hedge_is_not_a_second_part(self):
        """Guards against two signatures from one service."""
        sent = self.arrive_sent()
        for found in sent[:3]:
            self.answer(found, record(1))
        (hedge,) = gateway_case.sends(self.handle(forwarding.HedgeTimer(1)))
        self.assertEqual('s4-d2', hedge.searcher.searcher_id)
        commands = self.answer(hedge, record(2))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(4, len(response.part_signatures))
        self.assertEqual([], self.answer(sent[3], record(7)))

    def test_the_budget_bounds_hedges(self):
        """Guards against hedges that exceed the node's retry budget."""
        state = self.state
        hedged = 0
        for _ in range(200):
            for sent in self.arrive_sent():
                if sent.searcher.service != 's1':
                    self.answer(sent, record(1))
            commands = self.handle(forwarding.HedgeTimer(self.last_call_id))
            hedged += sum(
                1
                for sent in gateway_case.sends(commands)
                if sent.searcher.service == 's1'
            )
        share = 54.0 * 0.8 / state.nodes
        self.assertLessEqual(hedged, 200 * 0.2 + share)
        self.assertGreater(hedged, 200 * 0.15)

    def test_no_part_runs_on_more_searchers_than_declared(self):
        """Guards against more runs than `max_attempts`."""
        searchers = [
            gateway_case.make_searcher(f's1-{n}', 's1') for n in range(5)
        ]
        self.publish(searchers)
        sent = gateway_case.sends(self.arrive('/one/x'))
        sent += gateway_case.sends(self.handle(forwarding.HedgeTimer(1)))
        self.assertEqual(2, len(sent))
        self.assertEqual([], gateway_case.sends(self.end(sent[0], LOST)))

    def test_a_gather_of_which_nothing_ran_is_refused_with_503(self):
        """Guards against an error that hides that a retry is safe."""
        self.publish([])
        (response,) = gateway_case.responses(self.arrive())
        self.assertEqual(503, response.status)
        self.assertGreater(response.retry_after_ms, 0)

    def lose(self, sent, services):
        """End the attempts at some services so that none follows them."""
        commands = []
        for found in sent:
            if found.searcher.service not in services:
                continue
            (again,) = gateway_case.sends(self.end(found, LOST))
            commands = self.end(again, LOST)
        return commands

    def test_a_gather_whose_coverage_is_out_of_reach_ends_at_once(self):
        """Guards against a caller that waits for a certain failure."""
        sent = self.arrive_sent()
        self.assertEqual([], gateway_case.responses(self.lose(sent, ('s1',))))
        commands = self.lose(sent, ('s2',))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(502, response.status)
        self.assertEqual(2, len(gateway_case.cancels(commands)))
        self.assertEqual([], self.answer(sent[2], record(1)))

    def test_a_gather_that_cannot_be_covered_sends_nothing(self):
        """Guards against work of searchers for a certain failure."""
        searchers = [
            gateway_case.make_searcher(f's{n}-d1', f's{n}') for n in (1, 2, 3)
        ]
        self.publish(searchers)
        commands = self.arrive()
        self.assertEqual(3, len(gateway_case.sends(commands)))
        self.publish(searchers[:2])
        commands = self.arrive()
        self.assertEqual([], gateway_case.sends(commands))
        (finished,) = (
            c
            for c in commands
            if isinstance(c, messages.Decision)
            and c.name == 'request_finished'
        )
        self.assertEqual(
            's3:no_searcher,s4:no_searcher', finished.fields['missing']
        )
        (response,) = gateway_case.responses(commands)
        self.assertEqual(503, response.status)
        self.assertGreater(response.retry_after_ms, 0)

    def test_callers_wait_for_searchers_that_are_not_registered(self):
        """Guards against repeats that every node refuses as well.

        After an outage of the store the entries of the searchers are back
        within two seconds. Repeats after 50 ms were refused again.
        """
        self.publish([])
        delays = []
        for _ in range(50):
            (response,) = gateway_case.responses(self.arrive())
            delays.append(response.retry_after_ms)
        self.assertLessEqual(max(delays), 200)
        self.assertGreaterEqual(min(delays), 150)
        self.assertGreater(len(set(delays)), 20)
        (response,) = gateway_case.responses(self.arrive(deadline_ms=60))
        self.assertEqual(50, response.retry_after_ms)

    def test_a_gather_that_waits_for_closed_searchers_says_how_long(self):
        """Guards against a retry that is refused again."""
        for _ in range(2):
            for found in self.arrive_sent():
                if found.searcher.service in ('s1', 's2'):
                    self.handle(
                        forwarding.AttemptEnded(
                            found.attempt_id,
                            NOT_RUN,
                            503,
                            retry_after_ms=3_000,
                        )
                    )
            self.handle(forwarding.CallerDisconnected(self.last_call_id))
        self.now_ms += 1_000
        (response,) = gateway_case.responses(self.arrive())
        self.assertEqual(
            (503, 2_000), (response.status, response.retry_after_ms)
        )

    def test_requests_keep_the_routes_in_force_at_their_arrival(self):
        """Guards against parts of two versions in one response."""
        sent = self.arrive_sent()
        newer = gateway_case.make_table(2, (gateway_case.IDEMPOTENT,))
        self.handle(forwarding.RoutesChanged(newer))
        commands = []
        for found in sent:
            commands += self.answer(found, record(1))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(4, len(response.part_signatures))

    def test_an_older_version_does_not_replace_a_newer_one(self):
        """Guards against a configuration that reverts to an older one."""
        self.handle(forwarding.RoutesChanged(gateway_case.make_table(5)))
        older = gateway_case.make_table(4, ())
        self.handle(forwarding.RoutesChanged(older))
        self.assertEqual(5, self.state.table.version)

    def test_a_disconnected_callers_attempts_are_cancelled_at_once(self):
        """Guards against searchers that work on abandoned requests."""
        sent = self.arrive_sent()
        commands = self.handle(forwarding.CallerDisconnected(1))
        stopped = gateway_case.cancels(commands)
        self.assertEqual(
            {found.attempt_id for found in sent},
            {command.attempt_id for command in stopped},
        )
        self.assertEqual({0}, {command.grace_ms for command in stopped})
        in_flight = {h.in_flight for h in self.state.health.values()}
        self.assertEqual({0}, in_flight)

    def test_a_draining_searcher_gets_no_requests(self):
        """Guards against new requests to a searcher that is leaving."""
        self.publish(
            [
                gateway_case.make_searcher('s1-d1', 's1', 'd1', True),
                gateway_case.make_searcher('s1-d2', 's1', 'd2'),
            ]
        )
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        self.assertEqual('s1-d2', sent.searcher.searcher_id)
