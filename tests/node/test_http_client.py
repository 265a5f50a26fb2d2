import unittest

from gypsumbridge_decisions import errors
from gypsumbridge_node import http_client
from gypsumbridge_wire import http_request
from tests.node.gateway import loopback_reactor

CHUNK = b'10000\r\n' + b'y' * 0x10000 + b'\r\n'
HEAD = b'HTTP/1.1 200 OK\r\n'


class HttpClientTest(unittest.TestCase):
    def setUp(self):
        self.loopback = loopback_reactor.LoopbackReactor(self)
        pool = http_client.make_pool(self.loopback.reactor, 1)
        self.call = http_client.make_call(self.loopback.reactor, pool, 20_000)
        self.results = []

    def send(self):
        running = self.call(
            *self.loopback.address,
            http_request.HttpRequest(
                method='GET', path='/', headers={}, body=b''
            ),
        )
        running.addBoth(self.results.append)
        # Runs until the client has connected and sent its request.
        peer = None
        self.loopback.server.setblocking(False)

        def accepted():
            nonlocal peer
            try:
                peer, _ = self.loopback.server.accept()
            except BlockingIOError:
                return False
            return True

        self.loopback.run_until(accepted)
        self.addCleanup(peer.close)
        peer.setblocking(False)
        return running, peer

    def send_until_closed(self, peer, data):
        """Send without end; return the bytes sent until the close."""
        sent = 0
        rest = b''

        def closed():
            nonlocal sent, rest
            rest = rest or data
            try:
                count = peer.send(rest)
                sent += count
                rest = rest[count:]
            except BlockingIOError:
                return False
            except OSError:
                return True
            return False

        self.loopback.run_until(closed)
        return sent

    def test_a_body_without_end_is_given_up(self):
        """Guards against an endpoint that fills the memory with a body."""
        _, peer = self.send()
        peer.send(HEAD + b'Transfer-Encoding: chunked\r\n\r\n')
        sent = self.send_until_closed(peer, CHUNK)
        self.loopback.run_until(lambda: self.results)
        self.assertIsInstance(self.results[0].value, errors.TooLargeError)
        self.assertLess(sent, 4 * http_client.MAX_RESPONSE_BYTES)

    def test_a_head_without_end_is_given_up(self):
        """Guards against an endpoint that fills the memory with headers."""
        for start in (HEAD, HEAD + b'Content-Length: 3\r\n', b'HTTP/1.1 200'):
            with self.subTest(start=start):
                _, peer = self.send()
                peer.send(start)
                sent = self.send_until_closed(peer, b'X-A: b\r\n' * 1_000)
                self.loopback.run_until(lambda: self.results)
                self.assertFalse(hasattr(self.results.pop(), 'body'))
                self.assertLess(sent, http_client.MAX_RESPONSE_BYTES)

    def test_a_body_larger_than_a_head_is_returned(self):
        """Guards against a limit on heads that ends bodies."""
        _, peer = self.send()
        body = b'z' * 200_000
        peer.send(HEAD + b'Content-Length: 200000\r\n\r')
        self.loopback.reactor.iterate(0.01)
        peer.send(b'\n' + body[:50_000])
        for start in range(50_000, 200_000, 50_000):
            self.loopback.reactor.iterate(0.01)
            peer.send(body[start : start + 50_000])
        self.loopback.run_until(lambda: self.results)
        self.assertEqual(body, self.results[0].body)

    def test_a_complete_body_is_returned(self):
        """Guards against a body that is cut or changed."""
        _, peer = self.send()
        peer.send(HEAD + b'Content-Length: 3\r\n\r\nab')
        self.loopback.reactor.iterate(0.01)
        peer.send(b'c')
        self.loopback.run_until(lambda: self.results)
        self.assertEqual(b'abc', self.results[0].body)

    def test_a_truncated_body_is_not_returned(self):
        """Guards against half a body that is taken for the whole."""
        _, peer = self.send()
        peer.send(HEAD + b'Content-Length: 9\r\n\r\nabc')
        peer.close()
        self.loopback.run_until(lambda: self.results)
        self.assertFalse(hasattr(self.results[0], 'body'))

    def test_a_cancelled_call_closes_its_connection(self):
        """Guards against an endpoint that keeps sending to nobody."""
        running, peer = self.send()
        peer.send(HEAD + b'Content-Length: 9\r\n\r\nabc')
        for _ in range(10):
            self.loopback.reactor.iterate(0.01)
        running.cancel()
        self.send_until_closed(peer, b'y')
        self.assertEqual(1, len(self.results))
