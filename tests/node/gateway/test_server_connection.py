import unittest

from twisted.internet import error as net_errors
from twisted.internet import task
from twisted.python import failure

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_node.gateway import server_factory
from tests.node.gateway import socket_transport

# Twisted pauses a producer over this size of its write buffer.
BUFFER_BYTES = 65_536
LIMITS = forwarding.IngressLimits(
    max_header_bytes=200,
    max_body_bytes=100,
    header_timeout_ms=3_000,
    idle_timeout_ms=15_000,
)


class ServerConnectionTest(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.requests = []
        self.disconnects = 0
        self.closing = False
        factory = server_factory.make_factory(
            lambda c, request: self.requests.append(request),
            lambda c: self.count_disconnect(),
            lambda: LIMITS,
            lambda: self.closing,
        )
        self.connection = factory.buildProtocol(None)
        self.connection.callLater = self.clock.callLater
        self.transport = socket_transport.SocketTransport()
        self.transport.protocol = self.connection
        self.transport.setTcpNoDelay = lambda enabled: None
        self.connection.makeConnection(self.transport)

    def count_disconnect(self):
        self.disconnects += 1

    def receive(self, data):
        self.connection.dataReceived(data)

    def written(self):
        return self.transport.socket.sent + self.transport.value()

    def test_requests_are_served_one_at_a_time_in_order(self):
        """Guards against responses that are not in the requests' order."""
        self.receive(b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n')
        self.assertEqual(['/a'], [r.target for r in self.requests])
        self.connection.respond(200, (), b'A')
        self.assertEqual(['/a', '/b'], [r.target for r in self.requests])
        self.connection.respond(200, (), b'B')
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'
        self.assertEqual(head + b'A' + head + b'B', self.written())

    def test_an_interim_response_comes_before_the_final_one(self):
        """Guards against a refusal that overtakes a 100 Continue.

        A caller reads what follows a final response as the next response.
        """
        self.receive(
            b'POST /a HTTP/1.1\r\nExpect: 100-continue\r\n'
            b'Content-Length: 1\r\n\r\nx'
        )
        self.connection.respond(503, (), b'')
        self.assertTrue(self.written().startswith(b'HTTP/1.1 100 Continue'))
        self.assertEqual(b'', self.transport.value())

    def test_a_chunked_body_is_read_in_full(self):
        """Guards against a body that is forwarded incompletely."""
        self.receive(
            b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n'
        )
        self.assertEqual([], self.requests)
        self.receive(b'2\r\nde\r\n0\r\n\r\n')
        self.assertEqual(b'abcde', self.requests[0].body)

    def test_a_smuggled_request_is_refused(self):
        """Guards against requests whose length can be read in two ways."""
        self.receive(
            b'POST /a HTTP/1.1\r\nContent-Length: 5\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n'
        )
        self.assertEqual([], self.requests)
        self.assertIn(b' 400 ', self.written())
        self.assertFalse(self.transport.connected)

    def test_limits_are_enforced(self):
        """Guards against callers that exhaust memory."""
        cases = (
            (b'GET /a HTTP/1.1\r\nX: ' + b'x' * 200 + b'\r\n\r\n', b' 431 '),
            (
                b'POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n'
                + b'x' * 101,
                b' 413 ',
            ),
            (b'nonsense\r\n\r\n', b' 400 '),
        )
        for data, status in cases:
            with self.subTest(status=status):
                self.setUp()
                self.receive(data)
                self.assertIn(status, self.written())
                self.assertEqual([], self.requests)
                self.assertFalse(self.transport.connected)

    def test_a_slow_header_ends_with_408(self):
        """Guards against callers that keep connections open."""
        self.receive(b'GET /a HT')
        self.clock.advance(2.9)
        self.assertEqual(b'', self.written())
        self.clock.advance(0.2)
        self.assertIn(b' 408 ', self.written())

    def test_a_long_upload_is_read_while_its_bytes_arrive(self):
        """Guards against a 408 in the middle of a steady upload."""
        self.receive(b'POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\n')
        for _ in range(4):
            self.clock.advance(14.9)
            self.receive(b'x')
        self.assertEqual([b'xxxx'], [r.body for r in self.requests])
        self.assertEqual(b'', self.written())

    def test_an_upload_that_stops_ends_with_408(self):
        """Guards against callers that keep connections open."""
        self.receive(b'POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nx')
        self.clock.advance(14.9)
        self.receive(b'x')
        self.clock.advance(15.1)
        self.assertIn(b' 408 ', self.written())

    def test_bytes_of_a_header_do_not_extend_its_timeout(self):
        """Guards against callers that send one byte at a time."""
        self.receive(b'GET /')
        for _ in range(6):
            self.clock.advance(0.6)
            self.receive(b'a')
        self.assertIn(b' 408 ', self.written())

    def test_a_caller_that_does_not_read_gets_no_further_responses(self):
        """Guards against responses that fill the memory of the node.

        A caller may send requests without reading what they return.
        """
        self.transport.socket.room = 0
        request = b'GET /a HTTP/1.1\r\n\r\n'
        for _ in range(200):
            self.receive(request)
        served = 0
        while len(self.requests) > served:
            served += 1
            self.connection.respond(200, (), b'x' * 10_000)
            if self.transport.producer is None:
                continue
            if len(self.transport.value()) > BUFFER_BYTES:
                self.transport.producer.pauseProducing()
        self.assertLess(len(self.transport.value()), 2 * BUFFER_BYTES)
        self.assertFalse(self.connection.in_progress)
        self.transport.producer.resumeProducing()
        self.assertEqual(served + 1, len(self.requests))

    def test_a_response_that_is_not_read_ends_the_connection(self):
        """Guards against connections and memory that are never freed."""
        self.receive(b'GET /a HTTP/1.1\r\n\r\n')
        self.transport.socket.room = 0
        self.transport.loseConnection = lambda: None
        aborted = []
        self.transport.abortConnection = lambda: aborted.append(True)
        self.connection.respond(200, (), b'x' * 10_000)
        self.clock.advance(LIMITS.idle_timeout_ms / 1000)
        self.assertEqual([], aborted)
        self.clock.advance(server_connection.CLOSE_TIMEOUT_MS / 1000)
        self.assertEqual([True], aborted)

    def test_a_closed_connection_sends_what_was_written(self):
        """Guards against a last response that is cut by a producer."""
        self.receive(b'GET /a HTTP/1.1\r\n\r\n')
        self.transport.socket.room = 0
        self.transport.producer.pauseProducing()
        self.closing = True
        self.connection.respond(200, (), b'A')
        self.assertIsNone(self.transport.producer)
        self.assertIn(b'Connection: close', self.transport.value())

    def test_an_idle_connection_is_closed_without_a_response(self):
        """Guards against a response without a request."""
        self.clock.advance(14.9)
        self.assertTrue(self.transport.connected)
        self.clock.advance(0.2)
        self.assertFalse(self.transport.connected)
        self.assertEqual(b'', self.written())

    def test_a_request_in_progress_is_not_idle(self):
        """Guards against closing a connection before its response."""
        self.receive(b'GET /a HTTP/1.1\r\n\r\n')
        self.clock.advance(60)
        self.assertTrue(self.transport.connected)

    def test_a_stopping_node_announces_the_close(self):
        """Guards against a request sent while the node closes."""
        self.receive(b'GET /a HTTP/1.1\r\n\r\n')
        self.closing = True
        self.connection.respond(200, (), b'')
        self.assertIn(b'Connection: close', self.written())
        self.assertFalse(self.transport.connected)

    def test_a_caller_that_disconnects_is_reported_once(self):
        """Guards against work for a caller that has disconnected."""
        self.receive(b'GET /a HTTP/1.1\r\n\r\n')
        self.connection.connectionLost(
            failure.Failure(net_errors.ConnectionDone())
        )
        self.assertEqual(1, self.disconnects)
        self.connection.respond(200, (), b'')
        self.assertEqual(b'', self.written())
