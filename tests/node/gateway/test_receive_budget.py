import unittest

import logbook

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import server_factory
from tests.node.gateway import socket_transport

LIMIT_BYTES = 1_000_000
CHUNK = b'8000\r\n' + b'y' * 0x8000 + b'\r\n'
UPLOAD = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class ReceiveBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = memory_budget.MemoryBudget(LIMIT_BYTES)
        self.closed = []
        self.replies = []

    def open(self):
        connection = client_connection.ClientConnection(
            lambda c, reply: self.replies.append(reply),
            lambda c, reason: self.closed.append((c, reason)),
            logbook.Logger('test'),
            self.budget,
        )
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        connection.makeConnection(transport)
        connection.send(b'GET / HTTP/1.1\r\n\r\n', lambda reply: True)
        connection.dataReceived(HEAD)
        return connection

    def test_concurrent_endless_bodies_stay_within_one_limit(self):
        """Guards against many bodies that each stay below their own limit.

        31 concurrent endless bodies of up to 8 MiB took a gateway from 36 MB
        to 289 MB, of 300 MB allowed.
        """
        connections = [self.open() for _ in range(40)]
        for _ in range(20):
            for connection in connections:
                connection.dataReceived(CHUNK)
                held = sum(len(c.received.body) for c in connections)
                self.assertLessEqual(held, LIMIT_BYTES)
                self.assertEqual(held, self.budget.used_bytes)
        self.assertGreater(len(self.closed), 0)
        self.assertEqual(
            {'receive_budget'}, {reason for _, reason in self.closed}
        )

    def test_the_largest_body_is_given_up(self):
        """Guards against a large body that ends the small ones."""
        small = [self.open() for _ in range(5)]
        large = self.open()
        for connection in small:
            connection.dataReceived(CHUNK)
        while not self.closed:
            large.dataReceived(CHUNK)
        ((connection, _),) = self.closed
        self.assertIs(large, connection)
        for connection in small:
            connection.dataReceived(b'0\r\n\r\n')
        self.assertEqual(5, len(self.replies))

    def test_half_sent_uploads_stay_within_one_limit(self):
        """Guards against callers that fill the memory with uploads."""
        factory = server_factory.make_factory(
            lambda c, request: c.respond(200, (), b''),
            lambda c: None,
            lambda: forwarding.IngressLimits(max_body_bytes=LIMIT_BYTES),
            lambda: False,
        )
        factory.budget.limit_bytes = LIMIT_BYTES
        connections = []
        for _ in range(40):
            connection = factory.buildProtocol(None)
            connection.setTimeout = lambda seconds: None
            transport = socket_transport.SocketTransport()
            transport.protocol = connection
            transport.setTcpNoDelay = lambda enabled: None
            connection.makeConnection(transport)
            connection.dataReceived(UPLOAD + CHUNK)
            connections.append(connection)
        self.assertLessEqual(factory.budget.used_bytes, LIMIT_BYTES)
        held = sum(c.input.reader.held_bytes() for c in connections)
        self.assertEqual(held, factory.budget.used_bytes)
        bodies = sum(len(c.input.reader.body) for c in connections)
        self.assertLessEqual(bodies, held)
        self.assertGreater(bodies, 0)
        ended = [c for c in connections if c.ended]
        self.assertGreater(len(ended), 0)
        for connection in ended:
            sent = connection.writer.transport.socket.sent
            self.assertTrue(sent.startswith(b'HTTP/1.1 503 '))
            self.assertIn(b'Retry-After: 1', sent)
        for connection in connections:
            if not connection.ended:
                connection.dataReceived(b'0\r\n\r\n')
        self.assertEqual({}, factory.budget.holders)

    def test_nothing_is_counted_after_the_end(self):
        """Guards against a budget that is used up by what was freed."""
        completed, reset = self.open(), self.open()
        for connection in (completed, reset):
            connection.dataReceived(CHUNK)
        completed.dataReceived(b'0\r\n\r\n')
        reset.transport.loseConnection()
        self.assertEqual(1, len(self.replies))
        self.assertEqual(0, self.budget.used_bytes)
        self.assertEqual({}, self.budget.holders)
