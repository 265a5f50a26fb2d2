import types
import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import headers
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import pool_checkout
from gypsumbridge_node.gateway import receive_budget
from gypsumbridge_node.gateway import searchers_context
from gypsumbridge_node.gateway import searchers_state
from gypsumbridge_node.gateway.tasks import searchers
from gypsumbridge_platform import header_names
from tests.decisions.forwarding import gateway_case
from tests.node.gateway import bare_runtime
from tests.node.gateway import socket_transport


class EvacuatedSearchersTest(unittest.TestCase):
    def setUp(self):
        state = searchers_state.SearchersState(
            'n1', receive_budget.make_receive_budget()
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

    def send(self, attempt_id):
        request = forwarding.CallerRequest(
            1, 'r', 'GET', 'a.example', '/', (), b'', 600, 0
        )
        command = forwarding.SendAttempt(
            attempt_id, request, self.searcher, 500, True, None
        )
        searchers.send(self.context, command)

    def evacuate(self, *domains):
        searchers.change_evacuation(
            self.context, forwarding.EvacuationChanged(frozenset(domains))
        )

    def publish(self):
        update = forwarding.SearchersChanged(2, (self.searcher,))
        searchers.update_searchers(self.context, update)

    def open_next(self):
        """Complete the oldest pending connection; return its transport."""
        _, _, factory, _, _ = self.reactor.tcpClients.pop(0)
        connection = factory.buildProtocol(None)
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        connection.makeConnection(transport)
        self.reactor.advance(0)
        return transport

    def assert_not_sent(self, *attempt_ids):
        self.assertEqual(attempt_ids, tuple(e.attempt_id for e in self.ended))
        for ended in self.ended:
            self.assertEqual(forwarding.AttemptOutcome.NOT_SENT, ended.outcome)
            self.assertEqual(forwarding.EVACUATED, ended.detail)

    def test_an_attempt_that_waits_for_a_connection_is_not_sent(self):
        """Guards against a request that is sent when a connection opens."""
        self.send(1)
        self.evacuate('d1')
        transport = self.open_next()
        self.assert_not_sent(1)
        self.assertEqual(b'', transport.value() + transport.socket.sent)
        self.assertFalse(transport.connected)
        self.assertEqual({}, self.context.state.jobs)

    def test_an_attempt_that_waits_for_one_in_use_is_not_sent(self):
        """Guards against a request that follows the one in flight."""
        busy = bare_runtime.add_idle(self.pool.idle)
        self.send(1)
        self.send(2)
        self.evacuate('d1')
        self.assert_not_sent(2)
        self.assertIn(busy, self.pool.busy)
        self.ended.clear()
        reply = http_reply.HttpReply(200, headers.make_headers(()), b'', True)
        pool_checkout.handle_reply(self.context, self.pool, busy, reply)
        self.assertEqual([1], [ended.attempt_id for ended in self.ended])
        self.assertEqual([], self.pool.idle.connections)

    def test_an_attempt_chosen_before_the_evacuation_is_not_sent(self):
        """Guards against a command that arrives after the evacuation."""
        idle = bare_runtime.add_idle(self.pool.idle)
        self.evacuate('d1')
        self.send(1)
        self.assert_not_sent(1)
        self.assertFalse(idle.reusable)
        self.assertEqual([], self.reactor.tcpClients)

    def test_nothing_is_opened_in_advance_until_it_is_taken_back(self):
        """Guards against connections to searchers under evacuation.

        One that was scheduled before is not opened, and is opened again
        after the evacuation.
        """
        self.context.state.nodes = 1
        self.publish()
        self.evacuate('d1')
        self.publish()
        self.reactor.advance(1)
        self.assertEqual([], self.reactor.tcpClients)
        self.evacuate()
        self.reactor.advance(1)
        self.assertEqual(1, len(self.reactor.tcpClients))

    def test_a_searcher_that_moves_into_the_domain_gets_nothing(self):
        """Guards against the failure domain of an older entry."""
        self.evacuate('d2')
        self.searcher = gateway_case.make_searcher('s1-d1', 's1', 'd2')
        self.send(1)
        self.publish()
        self.assert_not_sent(1)
        self.reactor.advance(1)
        self.assertEqual([], self.reactor.tcpClients)
