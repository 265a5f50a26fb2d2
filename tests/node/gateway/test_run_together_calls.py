"""Answers of the store and of other nodes that run into each other."""

import types
import unittest

import msgspec

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway.tasks import coordinators
from gypsumbridge_node.gateway.tasks import peers
from gypsumbridge_node.gateway.tasks import store
from gypsumbridge_platform import platform_adapter
from gypsumbridge_wire import delegated_reply
from gypsumbridge_wire import delegation
from gypsumbridge_wire import relay
from tests.node.gateway import bare_runtime
from tests.node.gateway import socket_transport
from tests.wire import test_delegation
from tests.wire import test_relay

PEER = relaying.PeerNode('n2', '10.0.0.2:70', 'd1', 1.0, '10.0.0.2:71')


def encode(body, chunked=False, interim=b''):
    """Return an answer with a body."""
    if not chunked:
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        return interim + b'HTTP/1.1 200 OK\r\n' + length + body
    framing = b'Transfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n' % len(body) + body + b'\r\n0\r\n\r\n'
    return interim + b'HTTP/1.1 200 OK\r\n' + framing + chunk


def encode_changes(revision):
    return msgspec.json.encode(
        {
            'events': [{'key': 'a', 'revision': revision, 'value': 'eA=='}],
            'storeRevision': revision,
        }
    )


# The time of the runtime when the calls are sent.
SENT_MS = bare_runtime.NOW_MS


def expect_changes(revision):
    record = relaying.StoreRecord('a', revision, b'x')
    return discovery.StoreChanged(revision, (record,), SENT_MS)


class RunTogetherCallsTest(unittest.TestCase):
    def make_runtime(self):
        runtime = bare_runtime.make_runtime(
            discovery=types.SimpleNamespace(timeout_ms=1_500)
        )
        runtime.adapter = platform_adapter.make_adapter()
        runtime.logger = types.SimpleNamespace(error=lambda *a, **k: None)
        self.found = []
        self.handlers = {}

        def make_mailbox(name):
            return types.SimpleNamespace(
                put=self.found.append,
                start=lambda handle: self.handlers.update({name: handle}),
            )

        runtime.mailboxes = types.SimpleNamespace(
            **{
                name: make_mailbox(name)
                for name in (
                    'discovery',
                    'forwarding',
                    'peers',
                    'coordinators',
                )
            }
        )
        return runtime

    def watch(self, runtime):
        client = api_client_state.ApiClientState(
            runtime, 'store', '10.0.0.1:80'
        )
        store.make_watcher(runtime, client)(discovery.WatchStore(5, 3_000))

    def poll(self, runtime):
        peers.start_peers_task(runtime)
        self.handlers['peers'](relaying.WatchPeer(PEER, 5, 1_000))

    def delegate(self, runtime):
        coordinators.start_coordinators_task(runtime)
        self.handlers['coordinators'](
            forwarding.DelegateRequest(1, PEER, test_delegation.REQUEST)
        )

    def receive(self, call, pieces):
        """Return what a task reports for one call."""
        runtime = self.make_runtime()
        call(runtime)
        connection = runtime.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        connection.makeConnection(transport)
        runtime.reactor.advance(0)
        for piece in pieces:
            connection.dataReceived(piece)
        self.kept = transport.connected
        if transport.connected:
            transport.loseConnection()
        return [
            found
            for found in self.found
            if not isinstance(found, forwarding.DelegationAccepted)
        ]

    def check(self, call, first, second, expected, failures):
        """Cut the first answer anywhere, and send the second one after it."""
        for length in range(1, len(first) + 1):
            for pieces in (
                [first[:length] + second],
                [first[:length], second],
            ):
                with self.subTest(length=length, pieces=len(pieces)):
                    (found,) = self.receive(call, pieces)
                    if length == len(first):
                        self.assertEqual(expected, found)
                        continue
                    self.assertIsInstance(found, failures)
                    if isinstance(found, forwarding.DelegationEnded):
                        self.assertIsNone(found.response)
                        self.assertEqual('', found.refusal)

    def test_changes_of_two_answers_are_not_mixed(self):
        """Guards against a configuration made of two answers."""
        for chunked in (False, True):
            self.check(
                self.watch,
                encode(encode_changes(6), chunked),
                encode(encode_changes(7), chunked),
                expect_changes(6),
                discovery.StoreFailed,
            )

    def test_updates_of_two_answers_are_not_mixed(self):
        """Guards against searchers made of two answers of a relay."""
        self.check(
            self.poll,
            encode(relay.encode_updates(test_relay.UPDATES)),
            encode(relay.encode_updates(test_relay.UPDATES)),
            relaying.PeerAnswered('n2', test_relay.UPDATES, SENT_MS),
            relaying.PeerFailed,
        )

    def test_gathers_of_two_answers_are_not_mixed(self):
        """Guards against records of two requests in one response."""
        response = test_delegation.RESPONSE
        first = delegation.encode_reply(
            delegated_reply.DelegatedReply('', response, 1)
        )
        second = delegation.encode_reply(
            delegated_reply.DelegatedReply('', response, 2)
        )
        interim = b'HTTP/1.1 102 Processing\r\n\r\n'
        for confirmation in (b'', interim):
            self.check(
                self.delegate,
                encode(first, interim=confirmation),
                encode(second, interim=confirmation),
                forwarding.DelegationEnded(1, response),
                forwarding.DelegationEnded,
            )

    def test_a_reply_to_another_gather_is_not_used(self):
        """Guards against a late copy on a connection that is in use again."""
        reply = delegated_reply.DelegatedReply('', test_delegation.RESPONSE, 2)
        (found,) = self.receive(
            self.delegate, [encode(delegation.encode_reply(reply))]
        )
        self.assertIsNone(found.response)
        self.assertEqual('unreadable', found.failure)
        self.assertFalse(self.kept)
