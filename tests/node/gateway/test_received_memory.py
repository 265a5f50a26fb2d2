import gc
import tracemalloc
import unittest
import weakref

import logbook

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import client_opening
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import server_factory
from tests.node.gateway import loopback_reactor
from tests.node.gateway import socket_transport

BODY_BYTES = 200_000
# The buffer of a growing body may be larger than its content.
MAX_BODY_FACTOR = 1.5
FIXED_BYTES = 150_000
CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n'
)
UPLOAD_HEAD = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
LIMITS = forwarding.IngressLimits(max_body_bytes=2 * BODY_BYTES)


def make_small_chunks(chunk_bytes):
    """Return `BODY_BYTES` of a chunked body without its end."""
    chunk = b'%x\r\n' % chunk_bytes + b'y' * chunk_bytes + b'\r\n'
    return chunk * (BODY_BYTES // chunk_bytes)


def attach(connection):
    """Connect a connection to a transport in memory."""
    transport = socket_transport.SocketTransport()
    transport.protocol = connection
    transport.setTcpNoDelay = lambda enabled: None
    connection.makeConnection(transport)


class ReceivedMemoryTest(unittest.TestCase):
    def setUp(self):
        self.replies = []
        self.requests = []
        self.closed = []
        self.factory = server_factory.make_factory(
            lambda c, request: self.requests.append(request),
            lambda c: None,
            lambda: LIMITS,
            lambda: False,
        )
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def make_client(self):
        return client_connection.ClientConnection(
            lambda c, reply: self.replies.append(reply),
            lambda c, reason: self.closed.append(reason),
            logbook.Logger('test'),
            memory_budget.make_memory_budget(),
        )

    def open_client(self):
        connection = self.make_client()
        attach(connection)
        connection.send(
            b'GET / HTTP/1.1\r\n\r\n',
            lambda reply: reply.headers.first.get('x-id') == 'r1',
        )
        return connection

    def open_server(self):
        connection = self.factory.buildProtocol(None)
        connection.setTimeout = lambda seconds: None
        attach(connection)
        return connection

    def measure(self, connection, head, chunk_bytes):
        """Return the bytes that a connection keeps of a partial body."""
        data = make_small_chunks(chunk_bytes)
        connection.dataReceived(head)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for start in range(0, len(data), 50_000):
            connection.dataReceived(data[start : start + 50_000])
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used_bytes

    def test_a_response_in_small_chunks_takes_no_more_than_its_bytes(self):
        """Guards against a body whose pieces take many times its size."""
        for chunk_bytes in (1, 4, 16, 64):
            with self.subTest(chunk_bytes=chunk_bytes):
                used_bytes = self.measure(
                    self.open_client(), CHUNKED_HEAD, chunk_bytes
                )
                self.assertLess(
                    used_bytes, MAX_BODY_FACTOR * BODY_BYTES + FIXED_BYTES
                )

    def test_an_upload_in_small_chunks_takes_no_more_than_its_bytes(self):
        """Guards against a caller's body whose pieces fill the memory."""
        for chunk_bytes in (1, 16):
            with self.subTest(chunk_bytes=chunk_bytes):
                used_bytes = self.measure(
                    self.open_server(), UPLOAD_HEAD, chunk_bytes
                )
                self.assertLess(
                    used_bytes, MAX_BODY_FACTOR * BODY_BYTES + FIXED_BYTES
                )

    def test_many_short_headers_close_the_connection(self):
        """Guards against a head that takes many times its size."""
        connection = self.open_client()
        head = b'HTTP/1.1 200 OK\r\n' + b'a:\r\n' * 10_000
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        connection.dataReceived(head)
        used_bytes, _ = tracemalloc.get_traced_memory()
        self.assertEqual(1, len(self.closed))
        self.assertLess(used_bytes, FIXED_BYTES)

    def test_nothing_is_kept_of_a_body_over_the_limit(self):
        """Guards against bodies that outlive their connections.

        review/2: each endless body stayed until the cyclic collector ran,
        and gateways exceeded their memory limit.
        """
        connection = self.open_client()
        connection.max_body_bytes = 1_000
        # Twisted reports an aborted connection in a later iteration.
        connection.transport.abortConnection = lambda: None
        connection.dataReceived(CHUNKED_HEAD)
        for _ in range(10):
            connection.dataReceived(make_small_chunks(64))
        self.assertEqual(0, len(connection.received.body))
        self.assertEqual([], self.replies)

    def test_an_aborted_response_is_freed_without_the_collector(self):
        """Guards against a cycle between a connection and its parser."""
        connection = self.open_client()
        connection.dataReceived(CHUNKED_HEAD + make_small_chunks(64))
        connection.close()
        self.assertEqual(1, len(self.closed))
        found = weakref.ref(connection)
        del connection
        self.assertIsNone(found())

    def test_a_complete_response_is_freed_without_the_collector(self):
        """Guards against connections that outlive their last response."""
        connection = self.open_client()
        connection.dataReceived(CHUNKED_HEAD + b'1\r\ny\r\n0\r\n\r\n')
        self.assertEqual(1, len(self.replies))
        connection.close()
        found = weakref.ref(connection)
        del connection
        self.assertIsNone(found())

    def test_an_aborted_upload_is_freed_without_the_collector(self):
        """Guards against uploads that outlive their connections."""
        connection = self.open_server()
        connection.dataReceived(UPLOAD_HEAD + make_small_chunks(64))
        connection.transport.loseConnection()
        found = weakref.ref(connection)
        del connection
        self.assertIsNone(found())

    def test_nothing_is_kept_of_a_rejected_upload(self):
        """Guards against a caller that fills the memory after a refusal."""
        connection = self.open_server()
        # The connection stays open until the response has been sent.
        connection.transport.loseConnection = lambda: None
        connection.dataReceived(UPLOAD_HEAD)
        for _ in range(5):
            connection.dataReceived(make_small_chunks(64))
        self.assertTrue(connection.ended)
        self.assertEqual(0, connection.input.reader.held_bytes())

    def test_a_closed_socket_frees_its_connection(self):
        """Guards against references of the reactor to lost connections."""
        loopback = loopback_reactor.LoopbackReactor(self)
        opened = []
        client_opening.connect(
            loopback.reactor,
            loopback.address,
            loopback_reactor.TIMEOUT_S,
            lambda c, reply: self.replies.append(reply),
            lambda c, reason: self.closed.append(reason),
            logbook.Logger('test'),
            memory_budget.make_memory_budget(),
        ).addCallback(opened.append)
        loopback.run_until(lambda: opened)
        peer, _ = loopback.server.accept()
        self.addCleanup(peer.close)
        opened[0].send(b'GET / HTTP/1.1\r\n\r\n', lambda reply: True)
        peer.sendall(CHUNKED_HEAD + make_small_chunks(64)[:30_000])
        loopback.run_until(lambda: len(opened[0].received.body) > 0)
        found = weakref.ref(opened.pop())
        found().close()
        loopback.run_until(lambda: self.closed)
        # The reactor drops its last reference in its next iteration.
        loopback.reactor.iterate(0)
        self.assertIsNone(found())


if __name__ == '__main__':
    unittest.main()
