import unittest

from twisted.internet import task

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import end_to_end
from gypsumbridge_node.gateway import server_factory
from tests.node.gateway import socket_transport

# As sent by Java's HTTP client and by `curl --http2`.
OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\n'
    b'HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n'
)
LENGTH = b'Content-Length: 5\r\n\r\nhello'
CHUNKS = (
    b'Transfer-Encoding: chunked\r\n\r\n2;ext=1\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n'
)
START = b'POST /a?b HTTP/1.1\r\nHost: h\r\n'
EXPECT = b'Expect: 100-continue\r\n'
NEXT = b'GET /next HTTP/1.1\r\nHost: h\r\n\r\n'
BODY_FORMS = {
    'length': START + OFFER + LENGTH,
    'chunks': START + OFFER + CHUNKS,
    'length, continue': START + EXPECT + OFFER + LENGTH,
    'chunks, continue': START + OFFER + EXPECT + CHUNKS,
    'offer after the length': (
        START + b'Content-Length: 5\r\n' + OFFER + b'\r\nhello'
    ),
    'websocket': (
        START + b'Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n'
    )
    + LENGTH,
}


class UpgradeOfferTest(unittest.TestCase):
    def setUp(self):
        self.requests = []
        self.answered = 0
        factory = server_factory.make_factory(
            lambda c, request: self.requests.append(request),
            lambda c: None,
            forwarding.IngressLimits,
            lambda: False,
        )
        self.connection = factory.buildProtocol(None)
        self.connection.callLater = task.Clock().callLater
        self.transport = socket_transport.SocketTransport()
        self.transport.protocol = self.connection
        self.transport.setTcpNoDelay = lambda enabled: None
        self.connection.makeConnection(self.transport)

    def receive(self, *pieces):
        """Receive pieces, and answer each request at once."""
        for piece in pieces:
            self.connection.dataReceived(piece)
            while self.answered < len(self.requests):
                self.answered += 1
                self.connection.respond(200, (), b'done')

    def written(self):
        return self.transport.socket.sent + self.transport.value()

    def check_served(self, data):
        """Check that a request with a body and one behind it are served."""
        first, second = self.requests
        self.assertEqual(('POST', '/a?b'), (first.method, first.target))
        self.assertEqual(b'hello', first.body)
        names = {
            name.lower()
            for name, _ in end_to_end.end_to_end_headers(first.headers.pairs)
        }
        self.assertEqual({'host'}, names)
        self.assertEqual(('GET', '/next'), (second.method, second.target))
        self.assertEqual(b'', second.body)
        self.assertEqual(2, self.written().count(b'HTTP/1.1 200 OK'))
        continues = self.written().count(b'HTTP/1.1 100 Continue')
        self.assertEqual(int(EXPECT in data), continues)
        self.assertTrue(self.transport.connected)

    def test_an_offer_is_ignored_wherever_the_request_is_split(self):
        """Guards against requests that run without their body (review/1)."""
        for name, request in BODY_FORMS.items():
            data = request + NEXT
            for cut in range(len(data)):
                with self.subTest(name=name, cut=cut):
                    self.setUp()
                    self.receive(data[:cut], data[cut:])
                    self.check_served(data)

    def test_a_request_that_arrives_byte_by_byte_is_served(self):
        """Guards against a head that is read again too early."""
        for name, request in BODY_FORMS.items():
            with self.subTest(name=name):
                self.setUp()
                data = request + NEXT
                self.receive(*(bytes([byte]) for byte in data))
                self.check_served(data)

    def test_no_prefix_of_a_request_is_passed_on(self):
        """Guards against a request that is passed on before its body."""
        for name, request in BODY_FORMS.items():
            for length in range(len(request)):
                with self.subTest(name=name, length=length):
                    self.setUp()
                    self.receive(request[:length])
                    self.assertEqual([], self.requests)

    def test_several_offers_on_one_connection_are_ignored(self):
        """Guards against a parser that stays in its upgraded state."""
        self.receive((START + OFFER + LENGTH) * 3)
        self.assertEqual([b'hello'] * 3, [r.body for r in self.requests])

    def test_an_offer_without_a_body_is_ignored(self):
        """Guards against a request that waits for a body."""
        self.receive(b'GET /a HTTP/1.1\r\nHost: h\r\n' + OFFER + b'\r\n')
        self.assertEqual(['/a'], [r.target for r in self.requests])

    def test_a_close_beside_an_offer_is_obeyed(self):
        """Guards against a connection that the caller expects to end."""
        self.receive(
            b'GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\n'
            b'Connection: close, Upgrade\r\n\r\n'
        )
        self.assertIn(b'Connection: close', self.written())

    def test_other_protocols_are_refused_as_not_run(self):
        """Guards against a tunnel or HTTP/2 that is read as HTTP/1.1."""
        for data in (
            b'CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\nnoise' + NEXT,
            b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + NEXT,
        ):
            with self.subTest(data=data):
                self.setUp()
                self.receive(data)
                self.assertEqual([], self.requests)
                self.assertTrue(self.written().startswith(b'HTTP/1.1 421 '))
                self.assertFalse(self.transport.connected)

    def test_a_request_before_an_unreadable_one_is_answered(self):
        """Guards against a response that is lost to what follows it."""
        self.connection.dataReceived(NEXT + b'nonsense\r\n\r\n')
        self.assertEqual(b'', self.written())
        self.connection.respond(200, (), b'done')
        self.assertTrue(self.written().startswith(b'HTTP/1.1 200 OK'))
        self.assertIn(b'HTTP/1.1 400 ', self.written())
        self.assertFalse(self.transport.connected)
