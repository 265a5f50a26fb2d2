"""Requests for tokens between two nodes, and writes of holders."""

import types
import unittest

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import edge_resources
from gypsumbridge_node.gateway.settings import limits_settings
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

Space = types.SimpleNamespace
LOGGER = Space(error=lambda *a, **k: None)
REPLY = quotas.GrantReply(3, 900)
RECORD = quotas.HolderRecord(2, 'n1', 4, 17)


class QuotaCallsTest(unittest.TestCase):
    def setUp(self):
        self.loopback = loopback_reactor.LoopbackReactor(self)
        (port,) = ports.find_free_ports(1)
        self.peer = relaying.PeerNode('n2', f'127.0.0.1:{port}', 'd1', 1.0)
        self.found = []
        self.handlers = {}
        self.connections = set()
        runtime = self.make_runtime(self.peer.address)
        self.site = grants_task.start_grants_task(runtime)

        def on_request(connection, request):
            self.connections.add(connection)
            self.site.on_request(connection, request)

        site = Space(
            on_request=on_request, on_disconnect=self.site.on_disconnect
        )
        peer_http.start_peer_http_task(runtime, {grants.PATH: site})
        holders.start_holders_task(runtime)

    def make_runtime(self, peers):
        def now_ns():
            return int(self.loopback.reactor.seconds() * 1e9)

        def make_mailbox(name):
            return Space(
                put=self.found.append,
                start=lambda handle: self.handlers.update({name: handle}),
            )

        names = ('quotas', 'grants', 'holders')
        return Space(
            reactor=self.loopback.reactor,
            clock=clocks.make_clock(now_ns, now_ns),
            metrics=Space(count=lambda name: None),
            logger=LOGGER,
            resources=edge_resources.make_edge_resources(
                limits_settings.LimitsSettings()
            ),
            settings=Space(listen=Space(peers=peers)),
            mailboxes=Space(**{name: make_mailbox(name) for name in names}),
        )

    def ask(self, ask_id, timeout_ms=10_000, customer='c'):
        request = quotas.GrantRequest(1, f'{customer}{ask_id}', 2)
        self.handlers['holders'](
            quotas.AskHolder(ask_id, self.peer, request, timeout_ms)
        )

    def wait_for(self, kind, count):
        """Run until there are as many messages of a kind; return them."""

        def messages():
            return [m for m in self.found if isinstance(m, kind)]

        self.loopback.run_until(lambda: len(messages()) >= count)
        return messages()

    def test_many_requests_share_a_few_connections(self):
        """Guards against a connection for each customer and holder."""
        for ask_id in range(20):
            self.ask(ask_id)
        for number in range(20):
            asked = self.wait_for(quotas.GrantAsked, number + 1)[number]
            self.handlers['grants'](quotas.AnswerGrant(asked.call_id, REPLY))
        answered = self.wait_for(quotas.HolderAnswered, 20)
        expected = [quotas.HolderAnswered(n, REPLY) for n in range(20)]
        self.assertCountEqual(expected, answered)
        self.assertEqual(holders.MAX_CONNECTIONS, len(self.connections))

    def test_each_request_ends_in_time_while_the_holder_is_silent(self):
        """Guards against requests that wait behind a frozen holder."""
        for ask_id in range(holders.MAX_CONNECTIONS):
            self.ask(ask_id)
        self.ask(10, timeout_ms=50)
        failed = self.wait_for(quotas.HolderFailed, 1)
        self.assertEqual([quotas.HolderFailed(10, 'no_connection')], failed)

    def test_what_cannot_be_sent_or_read_fails_the_request(self):
        """Guards against a request that is never answered."""
        self.ask(1)
        (asked,) = self.wait_for(quotas.GrantAsked, 1)
        too_long = quotas.GrantReply(1, grants.MAX_LIFETIME_MS + 1)
        self.handlers['grants'](quotas.AnswerGrant(asked.call_id, too_long))
        self.wait_for(quotas.HolderFailed, 1)
        self.ask(2, customer='x' * 300)
        # A node that cannot be called asks nobody.
        holders.start_holders_task(self.make_runtime(''))
        self.ask(3)
        failed = self.wait_for(quotas.HolderFailed, 3)
        reasons = ['status_500', 'unencodable', 'no_address']
        self.assertEqual(reasons, [f.reason for f in failed])
        statuses = []
        connection = Space(respond=lambda *answer: statuses.append(answer[0]))
        for body in (b'', b'\x81\xa1x'):
            self.site.on_request(connection, Space(body=body))
        self.assertEqual([400, 400], statuses)


class HolderWriterTest(unittest.TestCase):
    def write(self, answer):
        """Return the request sent, and what the quotas task gets."""
        runtime = bare_runtime.make_runtime(discovery=Space(timeout_ms=1_500))
        runtime.adapter = platform_adapter.make_adapter()
        runtime.logger = LOGGER
        found = []
        runtime.mailboxes = Space(quotas=Space(put=found.append))
        client = api_client_state.ApiClientState(
            runtime, 'store', '10.1.1.1:1'
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
            head = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n'
            status, body = answer
            connection.dataReceived(head % (status, len(body)) + body)
        self.assertEqual(1, len(runtime.reactor.tcpClients))
        return transport.socket.sent, found

    def test_the_write_is_conditional_and_sent_once(self):
        """Guards against two holders of a partition, and against a loop."""
        unknown = quotas.HolderWritten(2, 0)
        for answer, expected in (
            ((200, b'{"revision":18}'), quotas.HolderWritten(2, 18)),
            ((412, b'{}'), quotas.HolderWritten(2, 0, conflict=True)),
            ((500, b''), unknown),
            ((200, b'{}'), unknown),
            (None, unknown),
        ):
            with self.subTest(answer=answer):
                sent, found = self.write(answer)
                self.assertEqual([expected], found)
                self.assertEqual(1, sent.count(b'POST '))
                self.assertIn(b'"key":"quotas/2","revision":17', sent)
