import types
import unittest

from twisted.internet import error as net_errors
from twisted.python import failure

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import headers as headers_type
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import pool_checkout
from gypsumbridge_node.gateway import searchers_context
from gypsumbridge_node.gateway import searchers_state
from gypsumbridge_node.gateway.tasks import searchers
from gypsumbridge_platform import header_names
from tests.decisions.forwarding import gateway_case
from tests.node.gateway import bare_runtime
from tests.node.gateway import socket_transport


class NewConnectionsTest(unittest.TestCase):
    def setUp(self):
        state = searchers_state.SearchersState(
            'n1', memory_budget.make_memory_budget()
        )
        state.nodes = 26
        state.table = gateway_case.make_table()
        runtime = bare_runtime.make_runtime(
            node=types.SimpleNamespace(failure_domain='d1', node_id='n1')
        )
        self.reactor = runtime.reactor
        self.ended = []
        runtime.mailboxes = types.SimpleNamespace(
            forwarding=types.SimpleNamespace(put=self.ended.append)
        )
        self.context = searchers_context.SearchersContext(
            runtime, state, header_names.HEADERS
        )
        self.searcher = gateway_case.make_searcher('s1-d1', 's1')
        self.pool = pool_checkout.pool_for(self.context, self.searcher)
        self.idle = bare_runtime.add_idle(self.pool.idle)

    def send(self, max_idle_ms, attempt_id=1):
        request = forwarding.CallerRequest(
            1, 'r', 'GET', 'a.example', '/', (), b'', 600, 0
        )
        command = forwarding.SendAttempt(
            attempt_id, request, self.searcher, 500, True, max_idle_ms
        )
        searchers.send(self.context, command)

    def test_an_idle_connection_is_used(self):
        """Guards against opening a connection for each attempt."""
        self.send(max_idle_ms=None)
        self.assertIn(self.idle, self.pool.busy)
        self.assertEqual([], self.reactor.tcpClients)

    def test_a_new_connection_is_opened_on_demand(self):
        """Guards against a hedge on a possibly unresponsive connection."""
        self.send(max_idle_ms=0)
        self.assertEqual({}, self.pool.busy)
        self.assertEqual(1, len(self.reactor.tcpClients))

    def test_a_recently_used_connection_is_reused(self):
        """Guards against opening a connection for each hedge."""
        self.send(max_idle_ms=500)
        self.assertIn(self.idle, self.pool.busy)

    def test_a_connection_past_the_maximum_idle_time_is_not_used(self):
        """Guards against a non-idempotent request on a closing connection."""
        self.idle.idle_since_ms -= 500
        self.send(max_idle_ms=500)
        self.assertEqual({}, self.pool.busy)
        self.assertEqual(1, len(self.reactor.tcpClients))

    def test_without_free_descriptors_a_pool_does_not_grow(self):
        """Guards against hedges that take the last descriptors."""
        connections = self.context.runtime.resources.connections
        connections.max_fds = 0
        self.context.state.nodes = 1
        self.pool.idle.discard(self.idle)
        for attempt_id in (1, 2, 3):
            self.send(max_idle_ms=0, attempt_id=attempt_id)
        # One connection serves them in turn.
        self.assertEqual(1, len(self.reactor.tcpClients))
        self.assertEqual(1, connections.outbound)
        connections.max_fds = 100
        self.send(max_idle_ms=0, attempt_id=4)
        self.assertEqual(2, connections.outbound)
        for _, _, factory, _, _ in self.reactor.tcpClients:
            factory.clientConnectionFailed(
                None, failure.Failure(net_errors.ConnectError())
            )
        self.reactor.advance(0)
        opened = len(self.reactor.tcpClients)
        self.assertEqual(opened - 2, connections.outbound)

    def test_waiting_attempts_do_not_reach_a_searcher_that_refuses(self):
        """Guards against requests that are sent after a refusal."""
        refusals = (
            (503, {'retry-after': '3', 'gypsumbridge-not-executed': '1'}),
            (200, {'server-leaving': '1'}),
        )
        for status, headers in refusals:
            with self.subTest(headers=headers):
                self.setUp()
                self.send(max_idle_ms=None, attempt_id=1)
                self.send(max_idle_ms=None, attempt_id=2)
                self.assertEqual(1, len(self.pool.waiting))
                reply = http_reply.HttpReply(
                    status,
                    headers_type.make_headers(headers.items()),
                    b'',
                    True,
                )
                pool_checkout.handle_reply(
                    self.context, self.pool, self.idle, reply
                )
                first, second = self.ended
                self.assertEqual(1, first.attempt_id)
                self.assertEqual(2, second.attempt_id)
                self.assertEqual(
                    forwarding.AttemptOutcome.NOT_SENT, second.outcome
                )

    def open_next(self):
        """Complete the oldest pending connection."""
        _, _, factory, _, _ = self.reactor.tcpClients.pop(0)
        connection = factory.buildProtocol(None)
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        connection.makeConnection(transport)
        self.reactor.advance(0)
        return connection

    def test_a_waiting_attempt_does_not_get_an_old_idle_connection(self):
        """Guards against a hedge on a possibly unresponsive connection.

        While attempts waited for new connections, the second one got the
        idle connection as soon as the first one had its own.
        """
        self.context.state.nodes = 1
        self.send(max_idle_ms=0, attempt_id=1)
        self.send(max_idle_ms=0, attempt_id=2)
        opened = self.open_next()
        self.assertEqual({opened}, set(self.pool.busy))
        self.assertEqual(1, len(self.pool.waiting))
        second = self.open_next()
        self.assertEqual({opened, second}, set(self.pool.busy))
        self.assertEqual([self.idle], self.pool.idle.connections)

    def test_waiting_attempts_do_not_reach_a_searcher_that_drains(self):
        """Guards against requests that are sent after the drain time.

        An attempt that waits for a connection may wait for seconds.
        """
        gone = gateway_case.make_searcher('s1-d2', 's1', 'd2')
        draining = gateway_case.make_searcher('s1-d1', 's1', draining=True)
        for searchers_left in ((draining, gone), (gone,)):
            with self.subTest(searchers=searchers_left):
                self.setUp()
                self.send(max_idle_ms=None, attempt_id=1)
                self.send(max_idle_ms=None, attempt_id=2)
                self.assertEqual(1, len(self.pool.waiting))
                searchers.update_searchers(
                    self.context,
                    forwarding.SearchersChanged(2, searchers_left),
                )
                (ended,) = self.ended
                self.assertEqual(2, ended.attempt_id)
                self.assertEqual(
                    forwarding.AttemptOutcome.NOT_SENT, ended.outcome
                )
                self.assertIn(self.idle, self.pool.busy)

    def test_many_cancelled_attempts_are_passed_over(self):
        """Guards against a recursion for each attempt that waits."""
        self.send(max_idle_ms=None, attempt_id=1)
        for attempt_id in range(2, 2_000):
            self.send(max_idle_ms=None, attempt_id=attempt_id)
            cancelled = forwarding.CancelAttempt(attempt_id, 350)
            searchers.cancel(self.context, cancelled)
        self.send(max_idle_ms=None, attempt_id=2_000)
        reply = http_reply.HttpReply(
            200, headers_type.make_headers(()), b'', True
        )
        self.idle.expects = None
        pool_checkout.handle_reply(self.context, self.pool, self.idle, reply)
        self.assertEqual(1_999, len(self.ended))
        (job,) = self.pool.busy.values()
        self.assertEqual(2_000, job.command.attempt_id)

    def test_no_connection_is_opened_in_advance_to_a_closed_searcher(self):
        """Guards against connections to a searcher that leaves or is full."""
        cases = (
            (200, {}, 1),
            (200, {'server-leaving': '1'}, 0),
            (503, {'retry-after': '3', 'gypsumbridge-not-executed': '1'}, 0),
        )
        for status, headers, expected in cases:
            with self.subTest(headers=headers):
                self.setUp()
                self.context.state.nodes = 1
                self.send(max_idle_ms=None)
                reply = http_reply.HttpReply(
                    status,
                    headers_type.make_headers(headers.items()),
                    b'',
                    True,
                )
                self.idle.reusable = False
                pool_checkout.handle_reply(
                    self.context, self.pool, self.idle, reply
                )
                searchers.warm_up(self.context)
                self.reactor.advance(1)
                self.assertEqual(expected, len(self.reactor.tcpClients))

    def test_a_connection_that_was_not_used_is_not_opened_again(self):
        """Guards against all nodes that connect to a searcher at once.

        On adal-registry-large the connections that had been opened in
        advance were closed as idle before the traffic began. All 195 nodes
        opened them again with the next routes, and the searchers reset
        2,371 of them in two seconds.
        """
        self.context.state.nodes = 1
        self.idle.reusable = False
        self.pool.idle.close_all()
        for _ in range(3):
            searchers.warm_up(self.context)
            self.reactor.advance(1)
            self.assertEqual(1, len(self.reactor.tcpClients))
            self.pool.opening = 0
        self.pool.warmed = False
        searchers.warm_up(self.context)
        self.reactor.advance(1)
        self.assertEqual(2, len(self.reactor.tcpClients))

    def test_a_used_connection_is_opened_again(self):
        """Guards against a first request that waits for a connection."""
        self.pool.warmed = True
        self.send(max_idle_ms=None)
        self.assertFalse(self.pool.warmed)

    def test_an_idle_connection_is_closed_for_a_new_one(self):
        """Guards against more connections than this node's share."""
        self.assertEqual(1, self.context.state.limit_for('s1'))
        self.send(max_idle_ms=0)
        self.assertFalse(self.idle.reusable)
        self.assertEqual(1, self.pool.size())

    def evacuate(self, *domains):
        update = forwarding.EvacuationChanged(frozenset(domains))
        searchers.change_evacuation(self.context, update)

    def publish(self):
        update = forwarding.SearchersChanged(2, (self.searcher,))
        searchers.update_searchers(self.context, update)

    def assert_evacuated(self, attempt_id):
        (ended,) = self.ended
        self.assertEqual(attempt_id, ended.attempt_id)
        self.assertEqual(forwarding.AttemptOutcome.NOT_SENT, ended.outcome)
        self.assertEqual(forwarding.EVACUATED, ended.detail)
        self.ended.clear()

    def test_waiting_attempts_do_not_reach_an_evacuated_searcher(self):
        """Guards against requests that are sent after an evacuation.

        The attempt in flight ends by itself, and its connection is closed.
        """
        self.send(max_idle_ms=None, attempt_id=1)
        self.send(max_idle_ms=None, attempt_id=2)
        self.evacuate('d1')
        self.assert_evacuated(2)
        reply = http_reply.HttpReply(
            200, headers_type.make_headers(()), b'', True
        )
        pool_checkout.handle_reply(self.context, self.pool, self.idle, reply)
        (ended,) = self.ended
        self.assertEqual(1, ended.attempt_id)
        self.assertEqual([], self.pool.idle.connections)

    def test_a_connection_that_opens_after_an_evacuation_is_closed(self):
        """Guards against an attempt that is sent when it opens."""
        self.send(max_idle_ms=0)
        self.evacuate('d1')
        self.assert_evacuated(1)
        self.assertFalse(self.open_next().reusable)
        self.assertEqual({}, self.context.state.jobs)

    def test_an_attempt_chosen_before_an_evacuation_is_not_sent(self):
        """Guards against a command that arrives after the evacuation.

        The failure domain is that of the searcher's newest entry.
        """
        self.context.state.nodes = 1
        self.evacuate('d2')
        self.searcher = gateway_case.make_searcher('s1-d1', 's1', 'd2')
        self.send(max_idle_ms=None)
        self.assert_evacuated(1)
        self.publish()
        self.assertFalse(self.idle.reusable)
        self.reactor.advance(1)
        self.assertEqual([], self.reactor.tcpClients)

    def test_no_connection_is_opened_in_advance_during_an_evacuation(self):
        """Guards against connections that were planned before it.

        They are opened after it.
        """
        self.context.state.nodes = 1
        self.idle.reusable = False
        self.pool.idle.close_all()
        self.publish()
        for domains, expected in ((('d1',), 0), ((), 1)):
            self.evacuate(*domains)
            self.publish()
            self.reactor.advance(1)
            self.assertEqual(expected, len(self.reactor.tcpClients))
