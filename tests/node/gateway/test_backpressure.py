"""What a connection parses and keeps while its peer does not read."""

import unittest

from twisted.internet import task

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import request_input
from gypsumbridge_node.gateway import request_reader
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_node.gateway import server_factory
from tests.node.gateway import socket_transport

LIMITS = forwarding.IngressLimits(max_header_bytes=2_000)
SMALL = b'GET / HTTP/1.1\r\n\r\n'
PER_SLICE = request_reader.SLICE_BYTES // len(SMALL) + 1


class BackpressureTest(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.served = []
        self.factory = server_factory.make_factory(
            self.serve, lambda c: None, lambda: LIMITS, lambda: False
        )
        self.connection, self.transport = self.open()
        self.answers = True

    def open(self):
        connection = self.factory.buildProtocol(None)
        connection.callLater = self.clock.callLater
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        transport.setTcpNoDelay = lambda enabled: None
        connection.makeConnection(transport)
        return connection, transport

    def serve(self, connection, request):
        self.served.append(request)
        if self.answers:
            connection.respond(404, (), b'')

    def receive(self, data):
        self.connection.dataReceived(data)

    def written(self):
        return self.transport.socket.sent + self.transport.value()

    def test_requests_behind_a_blocked_answer_are_not_parsed(self):
        """Guards against parsed requests that fill the memory.

        64 KiB of requests ahead took 3.5 MB in each connection.
        """
        self.transport.socket.room = 100
        self.receive(SMALL * 3_000)
        self.assertLess(len(self.served), 10)
        reader = self.connection.input.reader
        self.assertLess(len(reader.requests), PER_SLICE)
        self.assertEqual('paused', self.transport.producerState)
        self.assertGreater(self.factory.budget.used_bytes, 50_000)
        self.transport.socket.room = 1_000_000
        self.transport.producer.resumeProducing()
        # Other connections have their turns in between.
        most = len(self.served) + server_connection.MAX_SERVED_AT_ONCE
        while len(self.served) < 3_000:
            self.assertLessEqual(len(self.served), most)
            most = len(self.served) + server_connection.MAX_SERVED_AT_ONCE
            self.clock.advance(0)
        self.assertEqual('producing', self.transport.producerState)
        self.assertEqual(0, self.factory.budget.used_bytes)

    def test_requests_behind_one_in_progress_are_not_parsed(self):
        """Guards against the same with a handler that answers later."""
        self.answers = False
        self.receive(SMALL * 3_000)
        self.assertEqual(1, len(self.served))
        most = request_input.MAX_PIPELINED + PER_SLICE
        self.assertLess(len(self.connection.input.reader.requests), most)
        self.assertEqual('paused', self.transport.producerState)

    def test_bytes_that_complete_nothing_are_limited(self):
        """Guards against one field, trailer or extension without an end."""
        chunked = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        cases = (
            (b'GET / HTTP/1.1\r\nX: ', b'y', b' 431 '),
            (b'GET / HTTP/1.1\r\n', b'y', b' 431 '),
            (chunked + b'0\r\nX: ', b'y', b' 431 '),
            (chunked + b'1;', b'y', b' 431 '),
            (b'', b'\r\n', b' 400 '),
        )
        for start, piece, status in cases:
            for size in (1, 100, 5_000):
                with self.subTest(start=start, size=size):
                    self.setUp()
                    self.receive(start)
                    for _ in range(0, 4 * LIMITS.max_header_bytes, size):
                        self.receive(piece * size)
                    self.assertIn(status, self.written())
                    self.assertFalse(self.transport.connected)
                    self.assertEqual([], self.served)

    def test_heads_and_bodies_of_the_limit_are_served(self):
        """Guards against limits that meet what they allow."""
        line = b'POST / HTTP/1.1\r\n'
        length = b'Content-Length: 50000\r\n'
        used = len(b'/') + len(length)
        field = b'X: ' + b'y' * (LIMITS.max_header_bytes - used - 5) + b'\r\n'
        body = b'z' * 50_000
        request = line + length + field + b'\r\n' + body
        for size in (7, 1_000, 1_024, 2_048, len(request)):
            with self.subTest(size=size):
                self.setUp()
                for start in range(0, len(request), size):
                    self.receive(request[start : start + size])
                self.assertEqual([body], [r.body for r in self.served])

    def test_a_trailer_states_no_length(self):
        """Guards against a piece as large as a client says."""
        self.transport.socket.room = 0
        self.receive(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n'
            b'Content-Length: 999999\r\n'
        )
        self.receive(b'\r\n' + SMALL * 3_000)
        self.assertLess(len(self.connection.input.reader.requests), PER_SLICE)

    def test_memory_is_made_for_requests_unless_it_is_in_use(self):
        """Guards against callers that are refused for what others hold."""
        post = b'POST / HTTP/1.1\r\nContent-Length: 6000\r\n\r\n'
        body = b'z' * 6_000
        self.answers = False
        self.factory.budget.limit_bytes = 12_000
        self.receive(post + body[1:])
        ordinary, _ = self.open()
        ordinary.dataReceived(post + body)
        self.assertEqual(1, len(self.served))
        self.assertIn(b' 503 ', self.written())
        # Now the memory belongs to a request in progress.
        late, transport = self.open()
        late.dataReceived(post + body)
        self.assertEqual(1, len(self.served))
        self.assertIn(b' 503 ', transport.socket.sent)
        small, _ = self.open()
        small.dataReceived(SMALL)
        self.assertEqual(2, len(self.served))
        ordinary.respond(200, (), b'')
        self.assertEqual(0, self.factory.budget.used_bytes)

    def test_empty_lines_do_not_extend_the_timeout(self):
        """Guards against a connection that stays open without a request."""
        for _ in range(6):
            self.receive(b'\r\n')
            self.clock.advance(LIMITS.header_timeout_ms / 5_000)
        self.assertFalse(self.transport.connected)


if __name__ == '__main__':
    unittest.main()
