import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
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

    def test_a_paused_node_does_not_use_a_searcher_after_its_hold(self):
        """Guards against a permission that has run out during a pause.

        After a pause the requests that wait in the sockets are handled
        before the timer that drops the searcher.
        """
        self.handle(forwarding.HoldChanged('s1-d1', self.now_ms + 2_000))
        self.now_ms += 1_990
        self.assertIn('s1-d1', self.names_used())
        self.now_ms += 10
        self.assertEqual({'s1-d2'}, self.names_used())
        self.handle(forwarding.HoldChanged('s1-d1', None))
        self.assertIn('s1-d1', self.names_used())

    def test_a_searcher_that_returns_after_its_hold_is_used(self):
        """Guards against a searcher that is lost after an outage."""
        found = self.state.searchers['s1']
        sent = self.one_sent()
        self.finish(sent, leaving=True)
        self.handle(forwarding.HoldChanged('s1-d1', self.now_ms + 2_000))
        self.now_ms += 2_000
        self.publish(f for f in found if f.searcher_id != 's1-d1')
        self.now_ms += 1_000
        self.publish(dataclasses.replace(f, incarnation=9) for f in found)
        self.assertIn('s1-d1', self.names_used())

    def statements(self, commands):
        return [
            (c.reason, c.fields)
            for c in commands
            if isinstance(c, messages.Decision) and c.name == 'searcher_closed'
        ]

    def test_the_first_statement_of_a_searcher_is_logged(self):
        """Guards against requests that cannot be explained afterwards."""
        first, second = self.one_sent(), self.one_sent()
        ((reason, fields),) = self.statements(self.finish(first, leaving=True))
        self.assertEqual('leaving', reason)
        self.assertEqual(
            ('r-1', 's1-d1', 's1'),
            (fields['request_id'], fields['searcher'], fields['service']),
        )
        self.assertEqual(
            [], self.statements(self.finish(second, leaving=True))
        )

    def test_the_time_that_a_searcher_states_is_logged(self):
        """Guards against requests that cannot be explained afterwards."""
        first, second = self.one_sent(), self.one_sent()
        ((reason, fields),) = self.statements(self.refuse(first, 1_500))
        self.assertEqual('retry_after', reason)
        self.assertEqual(1_500, fields['closed_for_ms'])
        self.assertEqual([], self.statements(self.refuse(second, 1_500)))

    def test_a_statement_in_the_answer_of_a_lost_hedge_is_obeyed(self):
        """Guards against a statement that is read only in used answers."""
        sent = self.one_sent()
        (hedge,) = gateway_case.sends(
            self.handle(forwarding.HedgeTimer(self.last_call_id))
        )
        self.finish(hedge)
        commands = self.finish(sent, leaving=True)
        self.assertEqual(1, len(self.statements(commands)))
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
        self.assertEqual('s1:searchers_closed', self.missing(commands))
        self.publish([])
        commands = self.arrive('/one/x', 2_000)
        self.assertEqual('s1:no_searcher', self.missing(commands))

    def missing(self, commands):
        """Return the cause in the log line of a finished request."""
        (found,) = (
            c.fields['missing']
            for c in commands
            if isinstance(c, messages.Decision)
            and c.name == 'request_finished'
        )
        return found

    def lapse(self, lapse_ms, **changes):
        """Remove the entry of s1-d1, and publish it again later."""
        found = self.state.searchers['s1']
        self.publish(f for f in found if f.searcher_id != 's1-d1')
        self.now_ms += lapse_ms
        self.publish([dataclasses.replace(f, **changes) for f in found])

    def test_a_leaving_searcher_stays_excluded_while_its_entry_lapses(self):
        """Guards against requests after an outage of the store."""
        self.finish(self.one_sent(), leaving=True)
        self.lapse(4_400)
        self.assertEqual({'s1-d2'}, self.names_used())

    def test_a_stated_time_holds_while_the_entry_lapses(self):
        """Guards against requests that a searcher asked not to get."""
        sent = self.one_sent()
        (again,) = gateway_case.sends(self.refuse(sent, 30_000))
        self.finish(again)
        self.lapse(4_400)
        self.assertEqual({'s1-d2'}, self.names_used())
        self.now_ms += 26_000
        self.assertIn('s1-d1', self.names_used())

    def test_a_statement_made_without_an_entry_holds(self):
        """Guards against a late answer that is forgotten."""
        sent = self.one_sent()
        found = self.state.searchers['s1']
        self.publish(f for f in found if f.searcher_id != 's1-d1')
        self.finish(sent, leaving=True)
        self.publish(found)
        self.assertEqual({'s1-d2'}, self.names_used())

    def test_a_process_that_returns_after_a_lapse_is_used(self):
        """Guards against an exclusion of the next process."""
        self.finish(self.one_sent(), leaving=True)
        self.lapse(4_400, incarnation=7)
        self.assertIn('s1-d1', self.names_used())

    def test_an_entry_that_returns_much_later_is_used(self):
        """Guards against a searcher that is excluded for good."""
        self.finish(self.one_sent(), leaving=True)
        self.lapse(20_000)
        self.assertIn('s1-d1', self.names_used())
        self.assertEqual({}, self.state.departed)

    def test_a_changed_entry_does_not_undo_a_statement(self):
        """Guards against a change of the slots that counts as a restart."""
        self.finish(self.one_sent(), leaving=True)
        self.publish(
            dataclasses.replace(found, slots=3)
            for found in self.state.searchers['s1']
        )
        self.assertEqual({'s1-d2'}, self.names_used())

    def test_the_health_of_departed_searchers_is_dropped(self):
        """Guards against state that grows with every searcher of the past."""
        for number in range(20):
            self.publish([gateway_case.make_searcher(f'a{number}', 's1')])
        self.assertEqual({'a19'}, set(self.state.health))
        self.assertEqual({}, self.state.departed)

    def test_a_restarted_searcher_is_used_again(self):
        """Guards against a searcher that is excluded for good."""
        self.finish(self.one_sent(), leaving=True)
        searchers = [
            dataclasses.replace(found, incarnation=7)
            for found in self.state.searchers['s1']
        ]
        self.publish(searchers)
        self.assertIn('s1-d1', self.names_used())

    def test_a_restart_shows_in_the_sequence_of_the_entries(self):
        """Guards against a searcher that is lost after it had left.

        Some deployments write entries without the time of the start.
        """
        found = self.state.searchers['s1']
        self.publish(dataclasses.replace(f, sequence=50) for f in found)
        self.finish(self.one_sent(), leaving=True)
        self.publish(dataclasses.replace(f, sequence=60) for f in found)
        self.assertEqual({'s1-d2'}, self.names_used())
        self.publish(dataclasses.replace(f, sequence=1) for f in found)
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
