import socket
import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import server_factory
from tests.node.gateway import loopback_reactor

REQUESTS = 300
BODY = b'x' * 100_000
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n' + BODY
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


class SlowReadersTest(unittest.TestCase):
    def setUp(self):
        self.loopback = loopback_reactor.LoopbackReactor(self)
        self.served = 0
        factory = server_factory.make_factory(
            self.serve,
            lambda connection: None,
            forwarding.IngressLimits,
            lambda: False,
        )
        build = factory.buildProtocol

        def build_with_reactor(address):
            # Connections use the global reactor, which does not run here.
            connection = build(address)
            connection.callLater = self.loopback.reactor.callLater
            return connection

        factory.buildProtocol = build_with_reactor
        port = self.loopback.reactor.listenTCP(
            0, factory, interface='127.0.0.1'
        )
        self.addCleanup(port.stopListening)
        self.caller = socket.create_connection(
            ('127.0.0.1', port.getHost().port)
        )
        self.addCleanup(self.caller.close)
        self.caller.setblocking(False)

    def serve(self, connection, request):
        self.served += 1
        connection.respond(200, (), BODY)

    def run_for(self, iterations):
        for _ in range(iterations):
            self.loopback.reactor.iterate(0.001)

    def test_a_caller_that_reads_late_gets_every_response(self):
        """Guards against responses that fill the memory, and lost ones."""
        self.caller.send(REQUEST * REQUESTS)
        self.run_for(200)
        # The buffers of both sockets take some of them.
        self.assertLess(self.served, REQUESTS // 2)
        received = bytearray()

        def read():
            try:
                received.extend(self.caller.recv(1_000_000))
            except BlockingIOError:
                pass
            return len(received) >= REQUESTS * len(RESPONSE)

        self.loopback.run_until(read)
        self.assertEqual(RESPONSE * REQUESTS, bytes(received))


if __name__ == '__main__':
    unittest.main()
