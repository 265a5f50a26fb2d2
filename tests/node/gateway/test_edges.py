"""Every edge of the gateway with input that is cut at any place."""

import pathlib
import tempfile
import types
import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec
from twisted.internet import task

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import daemon
from gypsumbridge_node.gateway import server_factory
from gypsumbridge_node.gateway.settings import gateway_checks
from gypsumbridge_node.gateway.settings import regions
from gypsumbridge_node.gateway.tasks import store
from gypsumbridge_platform import platform_adapter
from gypsumbridge_platform import routes
from gypsumbridge_platform import searchers
from gypsumbridge_wire import delegated_reply
from gypsumbridge_wire import delegation
from gypsumbridge_wire import relay
from tests.node.gateway import bare_runtime
from tests.node.gateway import socket_transport
from tests.platform_adapter import test_decoding
from tests.wire import hostile
from tests.wire import test_delegation
from tests.wire import test_relay

BODIES = st.binary(max_size=30)
OPTIONS = st.sampled_from(
    [
        b'',
        b'Connection: keep-alive\r\n',
        b'Connection: Upgrade\r\nUpgrade: h2c\r\n',
        b'X-Long: ' + b'y' * 300 + b'\r\n',
    ]
)


def encode_chunks(body, size):
    """Return a body in chunks of at most `size` bytes."""
    pieces = [body[n : n + size] for n in range(0, len(body), size)]
    encoded = [b'%x\r\n' % len(p) + p + b'\r\n' for p in pieces]
    return b''.join(encoded) + b'0\r\n\r\n'


@st.composite
def requests(draw):
    """Return the target, the body and the bytes of a request."""
    number = draw(st.integers(0, 999))
    body = draw(BODIES)
    head = b'POST /%d HTTP/1.1\r\nHost: h\r\n' % number + draw(OPTIONS)
    if draw(st.booleans()):
        head += b'Content-Length: %d\r\n\r\n' % len(body)
        return f'/{number}', body, head + body
    head += b'Transfer-Encoding: chunked\r\n\r\n'
    size = draw(st.integers(1, 9))
    return f'/{number}', body, head + encode_chunks(body, size)


@st.composite
def pieces_of(draw, data):
    """Return some bytes in pieces."""
    cuts = draw(st.lists(st.integers(0, len(data)), max_size=6))
    bounds = [0, *sorted(cuts), len(data)]
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


class IngressTest(unittest.TestCase):
    def receive(self, pieces):
        """Return the requests that a connection passes on."""
        found = []

        def accept(connection, request):
            found.append((request.target, request.body))
            connection.respond(200, (), b'')

        factory = server_factory.make_factory(
            accept, lambda c: None, forwarding.IngressLimits, lambda: False
        )
        connection = factory.buildProtocol(None)
        connection.callLater = task.Clock().callLater
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        transport.setTcpNoDelay = lambda enabled: None
        connection.makeConnection(transport)
        for piece in pieces:
            connection.dataReceived(piece)
        return found

    @hostile.SETTINGS
    @hypothesis.given(st.data(), st.lists(requests(), max_size=4))
    def test_requests_do_not_depend_on_where_they_are_cut(self, data, sent):
        """Guards against a request that is whole too early or too late."""
        stream = b''.join(encoded for _, _, encoded in sent)
        expected = [(target, body) for target, body, _ in sent]
        pieces = data.draw(pieces_of(stream))
        self.assertEqual(expected, self.receive(pieces))
        length = data.draw(st.integers(0, len(stream)))
        whole, end = 0, 0
        for _, _, encoded in sent:
            end += len(encoded)
            whole += end <= length
        self.assertEqual(expected[:whole], self.receive([stream[:length]]))


class StoreClientTest(unittest.TestCase):
    def read(self, received, closes):
        """Return what the discovery task gets for one watch."""
        runtime = bare_runtime.make_runtime(
            discovery=types.SimpleNamespace(timeout_ms=1_500)
        )
        runtime.adapter = platform_adapter.make_adapter()
        runtime.logger = types.SimpleNamespace(error=lambda *a, **k: None)
        found = []
        runtime.mailboxes = types.SimpleNamespace(
            discovery=types.SimpleNamespace(put=found.append)
        )
        client = api_client_state.ApiClientState(
            runtime, 'store', '10.0.0.1:80'
        )
        store.make_watcher(runtime, client)(discovery.WatchStore(5, 3_000))
        connection = runtime.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        connection.makeConnection(transport)
        runtime.reactor.advance(0)
        for piece in received:
            connection.dataReceived(piece)
        if closes and transport.connected:
            transport.loseConnection()
        return found

    @hostile.SETTINGS
    @hypothesis.given(st.data(), st.booleans(), st.booleans())
    def test_changes_are_read_whole_or_not_at_all(self, data, chunked, cut):
        """Guards against half an answer of the store."""
        body = msgspec.json.encode(
            {
                'events': [{'key': 'a', 'revision': 6, 'value': 'eA=='}],
                'storeRevision': 7,
            }
        )
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        answer = head + body
        if chunked:
            head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            answer = head + encode_chunks(body, 7)
        if not cut:
            pieces = data.draw(pieces_of(answer))
            record = relaying.StoreRecord('a', 6, b'x')
            self.assertEqual(
                [discovery.StoreChanged(7, (record,), bare_runtime.NOW_MS)],
                self.read(pieces, closes=False),
            )
            return
        length = data.draw(st.integers(0, len(answer) - 1))
        (failed,) = self.read([answer[:length]], closes=True)
        self.assertIsInstance(failed, discovery.StoreFailed)


class DecodersTest(unittest.TestCase):
    def check_prefixes(self, data, decode):
        """Check that only the whole of the data decodes."""
        decode(data)
        for length in range(len(data)):
            with self.subTest(length=length):
                with self.assertRaises(errors.FrameError):
                    decode(data[:length])

    def test_no_prefix_of_an_update_is_whole(self):
        """Guards against a relay whose answer broke off."""
        self.check_prefixes(
            relay.encode_updates(test_relay.UPDATES), relay.decode_updates
        )

    def test_no_prefix_of_a_delegated_request_is_whole(self):
        """Guards against a gather of half a request."""
        self.check_prefixes(
            delegation.encode_request(test_delegation.REQUEST),
            delegation.decode_request,
        )

    def test_no_prefix_of_a_coordinators_reply_is_whole(self):
        """Guards against half an answer that is relayed to a caller."""
        reply = delegated_reply.DelegatedReply('', test_delegation.RESPONSE)
        self.check_prefixes(
            delegation.encode_reply(reply), delegation.decode_reply
        )

    def test_no_prefix_of_an_entry_is_whole(self):
        """Guards against records that were written in part."""
        self.check_prefixes(
            test_decoding.encode(test_decoding.ENTRY),
            lambda value: searchers.decode_searcher('i-1', value),
        )
        self.check_prefixes(
            test_decoding.encode(test_decoding.CONFIG), routes.decode_routes
        )


class SettingsTest(unittest.TestCase):
    def test_a_file_that_breaks_off_before_a_required_key_is_refused(self):
        """Guards against a gateway that runs with half of its settings."""
        text = (
            '[node]\nnode_id = n\nfailure_domain = d\n'
            '[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n'
            'metrics = 127.0.0.1:3\n'
            '[discovery]\nstore_address = 127.0.0.1:4\n'
            '[stop]\ngrace_s = '
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'gateway.ini'
            path.write_text(text + '6\n')
            self.assertEqual(6, daemon.load_settings(path).stop.grace_s)
            for length in range(len(text)):
                with self.subTest(length=length):
                    path.write_text(text[:length])
                    with self.assertRaises(errors.SettingsError):
                        daemon.load_settings(path)

    def test_regions_of_failure_domains(self):
        """Guards against homes that no failure domain is in.

        Where the platform names no regions, the value is empty.
        """
        check = gateway_checks.VALUE_CHECKS['discovery', 'regions']
        for value, expected in (
            ('', {}),
            ('null', {}),
            ('{}', {}),
            ('{"z0":"east","z1":"west"}', {'z0': 'east', 'z1': 'west'}),
        ):
            self.assertIsNone(check(value))
            self.assertEqual(expected, regions.decode_regions(value))
        for value in ('d1:r1', '{"d1":1}', '["d1"]', '{"d1":"r1"'):
            problem, remedy = check(value)
            self.assertIn('region of each failure domain', remedy)
