import types
import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import headers
from gypsumbridge_node.gateway import ingress_state
from gypsumbridge_node.gateway import server_factory
from gypsumbridge_node.gateway.tasks import ingress
from gypsumbridge_platform import header_names
from tests.node.gateway import bare_runtime
from tests.node.gateway import socket_transport


class IngressTest(unittest.TestCase):
    def setUp(self):
        self.accepted = []
        runtime = bare_runtime.make_runtime()
        runtime.adapter = types.SimpleNamespace(headers=header_names.HEADERS)
        runtime.mailboxes = types.SimpleNamespace(
            forwarding=types.SimpleNamespace(put=self.accepted.append)
        )
        self.state = ingress_state.IngressState()
        factory = server_factory.make_factory(
            lambda connection, request: ingress.accept(
                runtime, self.state, connection, request
            ),
            lambda connection: None,
            lambda: self.state.limits,
            lambda: False,
        )
        self.connection = factory.buildProtocol(None)
        self.connection.callLater = runtime.reactor.callLater
        self.connection.network_ms = lambda: 0.0
        self.transport = socket_transport.SocketTransport()
        self.transport.protocol = self.connection
        self.transport.setTcpNoDelay = lambda enabled: None
        self.connection.makeConnection(self.transport)

    def receive_headers(self, *lines, start=b'GET /a', trailer=b''):
        """Return the request that arrives with these header lines."""
        self.setUp()
        lines = (b'Host: h', b'Gypsumbridge-Request-Id: r', b'A_b: 1', *lines)
        head = b'\r\n'.join((start + b' HTTP/1.1', *lines, b'', b''))
        self.connection.dataReceived(head + trailer)
        (request,) = self.accepted
        return request

    def receive(self, deadline):
        name = header_names.HEADERS.deadline_ms.encode()
        self.connection.dataReceived(
            b'GET /a HTTP/1.1\r\nHost: h\r\nGypsumbridge-Request-Id: r\r\n'
            + name
            + b': '
            + deadline
            + b'\r\n\r\n'
        )

    def test_a_stated_deadline_is_used(self):
        """Guards against work for a caller that no longer waits."""
        self.receive(b'300')
        self.assertEqual([300], [r.deadline_ms for r in self.accepted])

    def test_an_unreadable_deadline_is_replaced_by_the_default(self):
        """Guards against a request that is never answered.

        A number of 5,000 digits ended the decoding after the request had
        been recorded as in progress, and its connection stayed open without
        an answer.
        """
        for deadline in (b'', b'soon', b'-1', b'1.5', b'9' * 5_000):
            with self.subTest(deadline=deadline[:10]):
                self.setUp()
                self.receive(deadline)
                self.assertEqual(
                    [ingress.DEFAULT_DEADLINE_MS],
                    [r.deadline_ms for r in self.accepted],
                )

    def test_a_callers_headers_of_key_and_customer_are_removed(self):
        """Guards against a key or a forged customer that searchers read."""
        lines = [
            spelling % name + b': forged'
            for spelling in (b'Gypsumbridge-%s', b'gypsumbridge_%s')
            for name in (b'Credential', b'TENANT', b'tenant', b'Tenant')
        ]
        chunked = b'Transfer-Encoding: chunked'
        trailer = b'0\r\n' + b'\r\n'.join((*lines, b'', b''))
        for request in (
            self.receive_headers(*lines),
            self.receive_headers(chunked, start=b'POST /a', trailer=trailer),
        ):
            self.assertEqual((('Host', 'h'), ('A_b', '1')), request.headers)
            self.assertEqual('', request.customer)

    def test_a_key_is_reduced_to_its_digest(self):
        """Guards against a key that goes on, and one of several keys."""
        name = b'GYPSUMBRIDGE-Credential: '
        unusable = forwarding.digest_keys(('',))
        for values, digest in (
            ((), b''),
            ((b' k-1 ',), forwarding.digest_keys(('k-1',))),
            ((b'k-1', b'k-1'), forwarding.digest_keys(('k-1',))),
            ((b'',), unusable),
            ((b'k-1', b'k-2'), unusable),
            ((b'k-1\xff',), unusable),
            ((b'k-1' * 1_000,), unusable),
        ):
            with self.subTest(values=values):
                request = self.receive_headers(*(name + v for v in values))
                self.assertEqual(digest, request.key_digest)
                self.assertNotIn('k-1', str(request))
        received = headers.make_headers((('Gypsumbridge-Credential', 'k-1'),))
        self.assertNotIn('k-1', repr(received))
