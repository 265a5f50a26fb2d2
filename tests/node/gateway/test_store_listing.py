import types
import unittest

import msgspec

from gypsumbridge_decisions import discovery
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway.tasks import store
from gypsumbridge_platform import platform_adapter
from tests.node.gateway import bare_runtime
from tests.node.gateway import socket_transport


class StoreListingTest(unittest.TestCase):
    def setUp(self):
        runtime = bare_runtime.make_runtime(
            discovery=types.SimpleNamespace(timeout_ms=1_500)
        )
        runtime.adapter = platform_adapter.make_adapter()
        self.received = []
        runtime.mailboxes = types.SimpleNamespace(
            discovery=types.SimpleNamespace(put=self.received.append)
        )
        self.reactor = runtime.reactor
        client = api_client_state.ApiClientState(
            runtime, 'store', '10.0.0.1:80'
        )
        self.list = store.make_lister(runtime, client)
        self.watch = store.make_watcher(runtime, client)

    def open_connection(self):
        """Accept the connection that the last call opens."""
        factory = self.reactor.tcpClients[-1][2]
        self.connection = factory.buildProtocol(None)
        transport = socket_transport.SocketTransport()
        transport.protocol = self.connection
        self.connection.makeConnection(transport)
        self.reactor.advance(0)

    def receive_too_much(self):
        size = client_connection.MAX_BODY_BYTES + 1
        self.connection.dataReceived(
            f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'.encode()
        )

    def test_changes_over_the_limit_are_listed_instead(self):
        """Guards against a watch that is repeated without end."""
        self.watch(discovery.WatchStore(5, 3_000))
        self.open_connection()
        self.receive_too_much()
        self.assertEqual([discovery.HistoryLost('too_large')], self.received)

    def test_a_page_over_the_limit_is_a_failure(self):
        """Guards against lists that follow each other without a pause."""
        self.list(discovery.ListStore(stale_ok=False))
        self.open_connection()
        self.receive_too_much()
        self.assertEqual(
            [discovery.StoreFailed('connection_body_too_large')],
            self.received,
        )

    def answer(self, revision, items, more, era=''):
        body = msgspec.json.encode(
            {
                'items': [
                    {'key': key, 'revision': changed, 'value': ''}
                    for key, changed in items.items()
                ],
                'hasMore': more,
                'storeRevision': revision,
            }
        )
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n'
        head += f'Store-Era: {era}\r\n\r\n' if era else '\r\n'
        self.connection.dataReceived(head.encode() + body)

    def test_a_list_is_as_old_as_its_oldest_page(self):
        """Guards against changes between the revisions of two pages.

        review/4: with staleOk, a later page can be older than the first
        one. The watch began at the revision of the first page, and a
        restarted gateway never received a change that its second page did
        not have yet.
        """
        for revisions in ((20, 12, 15), (12, 20, 15), (15, 20, 12)):
            with self.subTest(revisions=revisions):
                self.setUp()
                self.list(discovery.ListStore(stale_ok=True))
                self.open_connection()
                self.answer(revisions[0], {'a': 3}, True)
                self.answer(revisions[1], {'b': 4}, True)
                self.answer(revisions[2], {'c': 5}, False)
                (listed,) = self.received
                self.assertEqual(12, listed.revision)
                keys = [record.key for record in listed.records]
                self.assertEqual(['a', 'b', 'c'], keys)

    def test_pages_of_two_eras_are_not_one_list(self):
        """Guards against a list that is half from before a restore."""
        for first, second in (('4', '5'), ('5', '4'), ('', '5')):
            with self.subTest(first=first, second=second):
                self.setUp()
                self.list(discovery.ListStore(stale_ok=False, era=4))
                self.open_connection()
                self.answer(20, {'a': 3}, True, first)
                self.answer(20, {'b': 4}, False, second)
                self.assertEqual(
                    [discovery.StoreFailed('mixed_eras', 5)], self.received
                )

    def test_a_page_without_an_era_is_of_the_known_one(self):
        """Guards against a list that never ends for one lost header."""
        self.list(discovery.ListStore(stale_ok=False, era=4))
        self.open_connection()
        self.answer(20, {'a': 3}, True)
        self.answer(20, {'b': 4}, False, '4')
        (listed,) = self.received
        self.assertEqual(4, listed.era)

    def test_an_era_that_is_no_number_is_none(self):
        """Guards against an era that is guessed from a broken header."""
        for era in ('x', '-1', '1.5', '1e3', '9' * 5_000):
            with self.subTest(era=era):
                self.setUp()
                self.list(discovery.ListStore(stale_ok=False, era=4))
                self.open_connection()
                self.answer(20, {'a': 3}, False, era)
                (listed,) = self.received
                self.assertIsNone(listed.era)

    def test_a_refusal_states_the_era(self):
        """Guards against a 410 that is taken to be of the older era."""
        self.watch(discovery.WatchStore(5, 3_000))
        self.open_connection()
        self.connection.dataReceived(
            b'HTTP/1.1 410 Gone\r\nContent-Length: 0\r\nStore-Era: 5\r\n\r\n'
        )
        self.assertEqual(
            [discovery.HistoryLost('compacted', 5)], self.received
        )
