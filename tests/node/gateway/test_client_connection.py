import unittest

import logbook
from twisted.internet import error as net_errors
from twisted.python import failure

from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import memory_budget
from tests.node.gateway import socket_transport

HEAD_LIMIT_BYTES = 64 * 1_024
BODY_LIMIT_BYTES = client_connection.MAX_BODY_BYTES
INTERIM = b'HTTP/1.1 100 Continue\r\nX-Id: r1\r\n\r\n'
START = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\n'
COMPLETE_RESPONSES = {
    'stated length': START + b'Content-Length: 3\r\n\r\nabc',
    'no body': START + b'Content-Length: 0\r\n\r\n',
    'no content': b'HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n',
    'chunks': (
        START + b'Transfer-Encoding: chunked\r\n\r\n'
        b'1\r\na\r\n2\r\nbc\r\n0\r\n\r\n'
    ),
    'interim response first': (
        INTERIM + START + b'Content-Length: 3\r\n\r\nabc'
    ),
}
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CLEAN = failure.Failure(net_errors.ConnectionDone())
RESET = failure.Failure(net_errors.ConnectionLost())


class ClientConnectionTest(unittest.TestCase):
    def setUp(self):
        self.replies = []
        self.closed = []
        self.connection = client_connection.ClientConnection(
            lambda c, reply: self.replies.append(reply),
            lambda c, reason: self.closed.append(reason),
            logbook.Logger('test'),
            memory_budget.make_memory_budget(),
        )
        self.transport = socket_transport.SocketTransport()
        self.transport.protocol = self.connection
        self.connection.makeConnection(self.transport)

    def send(self, request_id='r1'):
        self.connection.send(
            b'GET / HTTP/1.1\r\n\r\n',
            lambda reply: reply.headers.first.get('x-id') == request_id,
        )

    def receive(self, body=b'abc', request_id='r1', extra=b'', length=None):
        length = len(body) if length is None else length
        head = (
            f'HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\n'
            f'Content-Length: {length}\r\n\r\n'
        )
        self.connection.dataReceived(head.encode() + body + extra)

    def bodies(self):
        return [reply.body for reply in self.replies]

    def test_a_request_does_not_overtake_a_waiting_one(self):
        """Guards against requests whose bytes are interleaved."""
        self.transport.socket.room = 5
        self.send()
        self.assertEqual(b'GET /', self.transport.socket.sent)
        rest = b' HTTP/1.1\r\n\r\n'
        self.assertEqual(rest, self.transport.value())
        self.transport.socket.room = 100
        self.receive()
        self.send('r2')
        self.assertEqual(b'GET /', self.transport.socket.sent)
        whole = rest + b'GET / HTTP/1.1\r\n\r\n'
        self.assertEqual(whole, self.transport.value())

    def test_a_response_is_reported_and_the_connection_kept(self):
        """Guards against a new connection for each request."""
        self.send()
        self.receive()
        self.send('r2')
        self.receive(b'def', 'r2')
        self.assertEqual([b'abc', b'def'], self.bodies())
        self.assertTrue(self.connection.is_usable(0))

    def test_the_idle_time_that_a_server_states_is_kept(self):
        """Guards against requests on a connection that is being closed."""
        self.receive_keep_alive(b'timeout=5, max=100')
        self.assertTrue(self.connection.is_usable(4_600))
        self.assertFalse(self.connection.is_usable(4_800))

    def test_an_unreadable_idle_time_does_not_cost_the_response(self):
        """Guards against a whole response that is given up.

        Numbers that `int` cannot convert ended the parsing of the head, and
        the request was reported as lost.
        """
        for value in (b'timeout=\xb2', b'timeout=' + b'9' * 5_000, b'timeout'):
            with self.subTest(value=value[:10]):
                self.setUp()
                self.receive_keep_alive(value)
                self.assertEqual([b'abc'], self.bodies())
                self.assertTrue(self.connection.is_usable(10_000))

    def receive_keep_alive(self, value):
        self.send()
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nKeep-Alive: '
            + value
            + b'\r\nContent-Length: 3\r\n\r\nabc'
        )

    def test_a_late_response_to_an_earlier_request_is_discarded(self):
        """Guards against a response that belongs to another request."""
        self.send('r2')
        self.receive(b'old', 'r1')
        self.assertEqual([], self.replies)
        self.receive(b'new', 'r2')
        self.assertEqual([b'new'], self.bodies())
        self.assertFalse(self.connection.is_usable(0))

    def test_an_unexpected_response_closes_the_connection(self):
        """Guards against bytes that are read as the next response."""
        self.receive()
        self.assertEqual([], self.replies)
        self.assertEqual(1, len(self.closed))

    def test_bytes_after_a_response_close_the_connection(self):
        """Guards against bytes that are read as the next response."""
        for extra in (b'HTTP/1.1 200 OK\r\n', b'noise'):
            with self.subTest(extra=extra):
                self.setUp()
                self.send()
                self.receive(extra=extra)
                self.assertEqual([b'abc'], self.bodies())
                self.assertEqual(1, len(self.closed))

    def test_a_truncated_response_is_not_reported(self):
        """Guards against an incomplete body."""
        self.send()
        self.receive(length=10)
        self.connection.connectionLost(CLEAN)
        self.assertEqual([], self.replies)
        self.assertEqual(['closed'], self.closed)

    def test_a_response_that_breaks_off_anywhere_is_not_reported(self):
        """Guards against a broken-off head or body that looks complete."""
        for name, response in COMPLETE_RESPONSES.items():
            for length in range(len(response)):
                with self.subTest(name=name, length=length):
                    self.setUp()
                    self.send()
                    self.connection.dataReceived(response[:length])
                    self.connection.connectionLost(CLEAN)
                    self.assertEqual([], self.replies)
            self.setUp()
            self.send()
            self.connection.dataReceived(response)
            self.assertEqual(1, len(self.replies))

    def test_a_head_without_length_that_breaks_off_is_not_reported(self):
        """Guards against an empty success made of half a head."""
        for start in (b'', INTERIM):
            head = start + START + b'X-Signature: s\r\n\r\n'
            for length in range(len(head)):
                with self.subTest(length=length):
                    self.setUp()
                    self.send()
                    self.connection.dataReceived(head[:length])
                    self.connection.connectionLost(CLEAN)
                    self.assertEqual([], self.replies)

    def test_an_unframed_response_ends_with_a_clean_close_only(self):
        """Guards against a reset that is taken for the end of a body."""
        for reason, expected in ((CLEAN, [b'abc']), (RESET, [])):
            with self.subTest(reason=reason.type):
                self.setUp()
                self.send()
                self.connection.dataReceived(
                    b'HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nabc'
                )
                self.connection.connectionLost(reason)
                self.assertEqual(expected, self.bodies())
                self.assertFalse(any(r.framed for r in self.replies))

    def test_bytes_that_are_no_response_close_the_connection(self):
        """Guards against garbage that is taken for a response."""
        self.send()
        self.connection.dataReceived(b'\x00\x01garbage\r\n\r\n')
        self.assertEqual([], self.replies)
        self.assertEqual(1, len(self.closed))

    def test_a_head_without_end_closes_the_connection(self):
        """Guards against a server that fills the memory with a head."""
        line = b'X-Fill: ' + b'y' * 1_000 + b'\r\n'
        endless = (line, b'z' * 1_000)
        for piece in endless:
            with self.subTest(piece=piece[:6]):
                self.setUp()
                self.send()
                self.connection.dataReceived(b'HTTP/1.1 200 OK\r\nX-A: ')
                self.receive_until_closed(piece, HEAD_LIMIT_BYTES)

    def test_interim_responses_without_end_close_the_connection(self):
        """Guards against a server that never sends its final response."""
        self.send()
        interim = b'HTTP/1.1 100 Continue\r\nX-Fill: y\r\n\r\n'
        self.receive_until_closed(interim, HEAD_LIMIT_BYTES)

    def test_a_body_without_end_closes_the_connection(self):
        """Guards against a server that fills the memory with a body."""
        framings = (b'Transfer-Encoding: chunked\r\n', b'')
        for framing in framings:
            with self.subTest(framing=framing):
                self.setUp()
                self.send()
                self.connection.dataReceived(
                    b'HTTP/1.1 200 OK\r\nX-Id: r1\r\n' + framing + b'\r\n'
                )
                chunk = b'8000\r\n' + b'y' * 0x8000 + b'\r\n'
                self.receive_until_closed(chunk, BODY_LIMIT_BYTES)

    def test_a_stated_length_over_the_limit_closes_the_connection(self):
        """Guards against reading a body that is discarded in the end."""
        self.send()
        self.receive(length=BODY_LIMIT_BYTES + 1)
        self.assertEqual(['body_too_large'], self.closed)

    def test_a_complete_body_over_the_limit_is_not_reported(self):
        """Guards against a part that exceeds its limit in one packet."""
        self.connection.send(b'GET / HTTP/1.1\r\n\r\n', lambda r: True, 10)
        # Twisted reports an aborted connection in a later iteration.
        self.transport.abortConnection = lambda: None
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'b\r\nabcdefghijk\r\n0\r\n\r\n'
        )
        self.assertEqual([], self.replies)

    def receive_until_closed(self, piece, limit_bytes):
        for _ in range(2 * limit_bytes // len(piece)):
            self.connection.dataReceived(piece)
            if self.closed:
                break
        self.assertEqual(1, len(self.closed))
        self.assertEqual([], self.replies)

    def test_a_response_to_head_is_complete_after_its_head(self):
        """Guards against waiting for a body that is never sent."""
        for framing in (b'Content-Length: 5\r\n', b'', CHUNKED):
            with self.subTest(framing=framing):
                self.setUp()
                self.connection.send(
                    b'HEAD / HTTP/1.1\r\n\r\n',
                    lambda reply: reply.headers.first.get('x-id') == 'r1',
                    head_only=True,
                )
                head = START + framing + b'\r\n'
                self.connection.dataReceived(head[:-1])
                self.assertEqual([], self.replies)
                self.connection.dataReceived(head[-1:])
                self.assertEqual([b''], self.bodies())
                self.assertTrue(self.replies[0].framed)
                self.assertFalse(self.connection.is_usable(0))

    def test_a_connection_near_its_stated_timeout_is_not_used(self):
        """Guards against a request sent while the server closes."""
        self.send()
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nKeep-Alive: timeout=2\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.connection.idle_since_ms = 1_000
        self.assertTrue(self.connection.is_usable(2_000))
        self.assertFalse(self.connection.is_usable(2_800))

    def test_a_connection_that_the_server_closes_is_not_reused(self):
        """Guards against a request on a connection that is closing."""
        self.send()
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nConnection: close\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertEqual(1, len(self.replies))
        self.assertFalse(self.connection.is_usable(0))
