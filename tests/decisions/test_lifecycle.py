import unittest

from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import messages

NONE = messages.MissingReason.NONE


class LifecycleTest(unittest.TestCase):
    def setUp(self):
        self.state = lifecycle.make_lifecycle_state(2_000, 90_000)
        self.handle(messages.ServingCondition('configuration', NONE))

    def handle(self, message):
        return lifecycle.handle(self.state, message, 0)

    def kinds(self, message):
        return {type(command) for command in self.handle(message)}

    def exits(self, message):
        commands = self.handle(message)
        return [c for c in commands if isinstance(c, lifecycle.ExitNode)]

    def report(self, **counts):
        commands = []
        for source, count in counts.items():
            commands += self.handle(messages.InFlightReport(source, count))
        return {type(command) for command in commands}

    def drain(self):
        self.handle(lifecycle.StopRequested())
        self.handle(lifecycle.BalancerLagTimer())
        return self.handle(messages.LeavingAnnounced())

    def test_a_stopping_node_serves_until_ownership_has_moved(self):
        """Guards against refusals while the balancer still sends requests."""
        commands = self.handle(lifecycle.StopRequested())
        self.assertIn(messages.ServingChanged(NONE), commands)
        self.assertIn(messages.EndKeepAlive(), commands)
        self.assertNotIn(lifecycle.ClosePort(), commands)
        self.assertFalse(self.state.ready)
        commands = self.handle(lifecycle.BalancerLagTimer())
        self.assertIn(lifecycle.ClosePort(), commands)
        self.assertIn(messages.AnnounceLeaving(), commands)
        condition = messages.ServingCondition('membership', NONE, 7)
        self.assertIn(messages.ServingChanged(NONE, 7), self.handle(condition))

    def test_late_arrivals_are_refused_as_draining(self):
        """Guards against a stop that does not complete under load."""
        draining = messages.ServingChanged(
            messages.MissingReason.NODE_DRAINING
        )
        self.assertIn(draining, self.drain())
        condition = messages.ServingCondition('configuration', NONE)
        self.assertIn(draining, self.handle(condition))

    def test_the_node_leaves_only_when_every_task_is_idle(self):
        """Guards against an exit when only some of the tasks are idle."""
        self.drain()
        self.assertEqual(
            set(), self.report(front=0, owner=0, mutation=0, operator_http=0)
        )
        busy = self.report(caller_http=1)
        self.assertEqual({messages.Timer}, busy)
        self.assertIn(
            messages.InFlightQuery, self.kinds(lifecycle.PollTimer())
        )
        # Replies to the previous poll do not count for this one.
        self.assertEqual(
            set(),
            self.report(caller_http=0, front=0, owner=0, operator_http=0),
        )
        self.assertIn(messages.LeaveFleet, self.report(mutation=0))
        self.assertEqual(
            [lifecycle.ExitNode('drained', True)],
            self.exits(lifecycle.FlushTimer()),
        )

    def test_the_stop_bound_ends_a_stop_with_work_in_flight(self):
        """Guards against a stop that waits forever for one request."""
        self.drain()
        self.report(caller_http=0, front=1, owner=0, mutation=0)
        self.assertEqual(
            [lifecycle.ExitNode('stop_bound', False)],
            self.exits(lifecycle.StopBoundTimer()),
        )
        self.assertEqual([], self.exits(lifecycle.FlushTimer()))

    def test_requests_in_flight_are_answered_before_the_stop_bound(self):
        """Guards against connections that end without a response."""
        commands = self.handle(lifecycle.StopRequested())
        delays_ms = {
            type(command.event): command.delay_ms
            for command in commands
            if isinstance(command, messages.Timer)
        }
        self.assertLess(
            delays_ms[lifecycle.AnswerBoundTimer],
            delays_ms[lifecycle.StopBoundTimer],
        )
        self.assertEqual(
            [messages.EndRequests()],
            self.handle(lifecycle.AnswerBoundTimer()),
        )
        self.handle(lifecycle.StopBoundTimer())
        self.assertEqual([], self.handle(lifecycle.AnswerBoundTimer()))

    def test_a_second_signal_answers_requests_in_flight(self):
        """Guards against a repeated signal that cuts requests."""
        self.handle(lifecycle.StopRequested())
        commands = self.handle(lifecycle.StopRequested())
        self.assertEqual(messages.EndRequests(), commands[0])

    def test_a_second_signal_exits_at_once(self):
        """Guards against a stuck stop that an operator cannot abort."""
        self.handle(lifecycle.StopRequested())
        self.assertEqual(
            [lifecycle.ExitNode('second_signal', False)],
            self.exits(lifecycle.StopRequested()),
        )

    def test_the_earliest_expiry_of_all_sources_applies(self):
        """Guards against a paused node that ignores one stale source."""
        state = lifecycle.make_lifecycle_state(0, 0)
        for source, until_ms in (('a', 9), ('b', 5), ('c', 7)):
            condition = messages.ServingCondition(source, NONE, until_ms)
            commands = lifecycle.handle(state, condition, 0)
        self.assertIn(messages.ServingChanged(NONE, 5), commands)
