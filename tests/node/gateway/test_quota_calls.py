"""Requests for tokens between two nodes, and writes of holders."""

import types
import unittest

from twisted.internet import testing

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway.tasks import grants as grants_task
from gypsumbridge_node.gateway.tasks import holders
from gypsumbridge_node.gateway.tasks import peer_http
from gypsumbridge_node.gateway.tasks import store
from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.cluster import ports
from gypsumbridge_wire import grants
from tests.node.gateway import bare_runtime
from tests.node.gateway import loopback_reactor
from tests.node.gateway import socket_transport

TIMEOUT_MS = 10_000
REPLY = quotas.GrantReply(3, 900)
RECORD = quotas.HolderRecord(2, 'n1', 4, 17)


def make_mailbox(found, handlers, name):
    return types.SimpleNamespace(
        put=found.append,
        start=lambda handle: handlers.update({name: handle}),
    )


class QuotaCallsTest(unittest.TestCase):
    def setUp(self):
        self.loopback = loopback_reactor.LoopbackReactor(self)
        (port,) = ports.find_free_ports(1)
        self.address = f'127.0.0.1:{port}'
        self.peer = relaying.PeerNode('n2', self.address, 'd1', 1.0)
        self.found = []
        self.handlers = {}
        self.counts = []
        self.runtime = self.make_runtime(self.address)
        self.connections = set()
        site = grants_task.start_grants_task(self.runtime)

        def on_request(connection, request):
            self.connections.add(connection)
            site.on_request(connection, request)

        peer_http.start_peer_http_task(
            self.runtime,
            {
                grants.PATH: types.SimpleNamespace(
                    on_request=on_request, on_disconnect=site.on_disconnect
                )
            },
        )
        holders.start_holders_task(self.runtime)

    def make_runtime(self, peers):
        now = self.loopback.reactor.seconds
        return types.SimpleNamespace(
            reactor=self.loopback.reactor,
            clock=clocks.make_clock(
                lambda: int(now() * 1e9), lambda: int(now() * 1e9)
            ),
            metrics=types.SimpleNamespace(count=self.counts.append),
            logger=types.SimpleNamespace(error=lambda *a, **k: None),
            settings=types.SimpleNamespace(
                listen=types.SimpleNamespace(peers=peers)
            ),
            mailboxes=types.SimpleNamespace(
                **{
                    name: make_mailbox(self.found, self.handlers, name)
                    for name in ('quotas', 'grants', 'holders')
                }
            ),
        )

    def ask(self, ask_id, timeout_ms=TIMEOUT_MS, customer='c'):
        request = quotas.GrantRequest(1, f'{customer}{ask_id}', 2)
        self.handlers['holders'](
            quotas.AskHolder(ask_id, self.peer, request, timeout_ms)
        )
        return request

    def messages(self, kind):
        return [m for m in self.found if isinstance(m, kind)]

    def wait_for(self, kind, count):
        self.loopback.run_until(lambda: len(self.messages(kind)) >= count)

    def test_many_requests_share_a_few_connections(self):
        """Guards against a connection for each customer and holder."""
        sent = {n: self.ask(n) for n in range(20)}
        answered = 0
        while answered < len(sent):
            self.wait_for(quotas.GrantAsked, answered + 1)
            for asked in self.messages(quotas.GrantAsked)[answered:]:
                answered += 1
                self.handlers['grants'](
                    quotas.AnswerGrant(asked.call_id, REPLY)
                )
        self.wait_for(quotas.HolderAnswered, len(sent))
        received = [a.request for a in self.messages(quotas.GrantAsked)]
        self.assertCountEqual(sent.values(), received)
        self.assertEqual(
            {(n, REPLY) for n in sent},
            {
                (a.ask_id, a.reply)
                for a in self.messages(quotas.HolderAnswered)
            },
        )
        self.assertEqual(holders.MAX_CONNECTIONS, len(self.connections))

    def test_each_request_ends_in_time_while_the_holder_is_silent(self):
        """Guards against requests that wait behind a frozen holder."""
        for number in range(holders.MAX_CONNECTIONS):
            self.ask(number)
        self.ask(10, timeout_ms=50)
        self.wait_for(quotas.HolderFailed, 1)
        self.ask(11, timeout_ms=60)
        self.wait_for(quotas.HolderFailed, 2)
        self.assertEqual(
            [
                quotas.HolderFailed(10, 'no_connection'),
                quotas.HolderFailed(11, 'no_connection'),
            ],
            self.messages(quotas.HolderFailed),
        )
        self.assertEqual([], self.messages(quotas.HolderAnswered))

    def test_an_answer_that_cannot_be_sent_or_read_fails_the_request(self):
        """Guards against a request that is never answered."""
        self.ask(1)
        self.wait_for(quotas.GrantAsked, 1)
        too_long = quotas.GrantReply(1, grants.MAX_LIFETIME_MS + 1)
        (asked,) = self.messages(quotas.GrantAsked)
        self.handlers['grants'](quotas.AnswerGrant(asked.call_id, too_long))
        self.wait_for(quotas.HolderFailed, 1)
        self.ask(2, customer='x' * 300)
        self.assertEqual(
            [
                quotas.HolderFailed(1, 'status_500'),
                quotas.HolderFailed(2, 'unencodable'),
            ],
            self.messages(quotas.HolderFailed),
        )

    def test_other_paths_and_bodies_are_refused(self):
        """Guards against a stack trace for a call of another release."""
        site = grants_task.start_grants_task(self.runtime)
        connection = types.SimpleNamespace(
            respond=lambda *answer: answers.append(answer[0])
        )
        answers = []
        for body in (b'', b'\xff', b'\x81\xa1x'):
            site.on_request(connection, types.SimpleNamespace(body=body))
        self.assertEqual([400] * 3, answers)
        self.assertEqual([], self.found)

    def test_a_node_that_cannot_be_called_asks_nobody(self):
        """Guards against grants to a node that takes no part in quotas."""
        holders.start_holders_task(self.make_runtime(''))
        self.ask(1)
        self.assertEqual([quotas.HolderFailed(1, 'no_address')], self.found)


class HolderWriterTest(unittest.TestCase):
    def write(self, answer):
        """Return the request sent, and what the quotas task gets."""
        runtime = bare_runtime.make_runtime(
            discovery=types.SimpleNamespace(timeout_ms=1_500)
        )
        runtime.adapter = platform_adapter.make_adapter()
        runtime.logger = types.SimpleNamespace(error=lambda *a, **k: None)
        found = []
        runtime.mailboxes = types.SimpleNamespace(
            quotas=make_mailbox(found, {}, 'quotas')
        )
        client = api_client_state.ApiClientState(
            runtime, 'store', '10.0.0.1:80'
        )
        store.make_holder_writer(runtime, client)(quotas.WriteHolder(RECORD))
        connection = runtime.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        connection.makeConnection(transport)
        runtime.reactor.advance(0)
        if answer is None:
            runtime.reactor.advance(1.5)
        else:
            connection.dataReceived(answer)
        self.assertIsInstance(runtime.reactor, testing.MemoryReactorClock)
        self.assertEqual(1, len(runtime.reactor.tcpClients))
        return transport.socket.sent, found

    def test_the_write_is_conditional_and_sent_once(self):
        """Guards against two holders of a partition, and against a loop."""
        written = quotas.HolderWritten
        for answer, expected in (
            (
                b'200 OK\r\nContent-Length: 15\r\n\r\n{"revision":18}',
                written(2, 18),
            ),
            (b'412 X\r\nContent-Length: 2\r\n\r\n{}', written(2, 0, True)),
            (b'500 X\r\nContent-Length: 0\r\n\r\n', written(2, 0)),
            (b'200 OK\r\nContent-Length: 2\r\n\r\n{}', written(2, 0)),
            (None, written(2, 0)),
        ):
            with self.subTest(answer=answer):
                received = None if answer is None else b'HTTP/1.1 ' + answer
                sent, found = self.write(received)
                self.assertEqual([expected], found)
                self.assertEqual(1, sent.count(b'POST '))
                self.assertIn(b'"key":"quotas/2","revision":17', sent)
