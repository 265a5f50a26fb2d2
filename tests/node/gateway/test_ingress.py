import types
import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import headers
from gypsumbridge_node.gateway import ingress_state
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import server_connection
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
        factory = server_connection.make_factory(
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

    def receive_headers(self, *lines):
        """Return the request that arrives with these header lines."""
        self.setUp()
        head = b''.join(line + b'\r\n' for line in lines)
        self.connection.dataReceived(
            b'GET /a HTTP/1.1\r\nHost: h\r\nGypsumbridge-Request-Id: r\r\n'
            b'Kept_Header: 1\r\n' + head + b'\r\n'
        )
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

    def test_a_callers_own_headers_of_customers_are_removed(self):
        """Guards against a key or a forged customer that searchers read."""
        spellings = (
            b'Gypsumbridge-%s',
            b'GYPSUMBRIDGE-%s',
            b'gypsumbridge_%s',
            b'Gypsumbridge_%s',
        )
        lines = [
            spelling % name + b': forged'
            for spelling in spellings
            for name in (b'Credential', b'Tenant', b'TENANT')
        ]
        request = self.receive_headers(*lines)
        self.assertEqual(
            (('Host', 'h'), ('Kept_Header', '1')), request.headers
        )
        self.assertEqual('', request.customer)

    def test_a_key_is_reduced_to_its_digest(self):
        """Guards against a key that goes on to other tasks."""
        request = self.receive_headers(b'gypsumbridge-credential:  k-1 ')
        self.assertEqual(forwarding.digest_keys(('k-1',)), request.key_digest)
        self.assertNotIn('k-1', str(request))
        self.assertEqual(b'', self.receive_headers().key_digest)

    def test_unusable_keys_are_no_customers(self):
        """Guards against taking one of several keys, or half of a key."""
        name = b'Gypsumbridge-Credential: '
        unusable = forwarding.digest_keys(('',))
        for values in ((b'',), (b'a', b'b'), (b'a\xff',), (b'x' * 2_000,)):
            with self.subTest(values=values):
                request = self.receive_headers(*(name + v for v in values))
                self.assertEqual(unusable, request.key_digest)

    def test_a_key_in_a_trailer_is_not_forwarded(self):
        """Guards against headers after the body that reach a searcher."""
        self.connection.dataReceived(
            b'POST /a HTTP/1.1\r\nHost: h\r\nGypsumbridge-Request-Id: r\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n'
            b'Gypsumbridge-Credential: k\r\nGypsumbridge_Tenant: t\r\n\r\n'
        )
        (request,) = self.accepted
        self.assertEqual((('Host', 'h'),), request.headers)

    def test_received_headers_are_in_no_representation(self):
        """Guards against a key in the report of a handler's error."""
        pairs = (('Gypsumbridge-Credential', 'k-1'),)
        parsed = parsed_request.ParsedRequest(
            'GET', '/', headers.make_headers(pairs), b''
        )
        self.assertNotIn('k-1', repr(parsed))
