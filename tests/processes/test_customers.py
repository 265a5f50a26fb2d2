import http.client
import unittest

import msgspec

from gypsumbridge_decisions import forwarding
from gypsumbridge_platform import customer_body
from gypsumbridge_platform import header_names
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

NAMES = header_names.HEADERS
SERVICES = ('s1', 's2', 's3')
DEADLINE_MS = 20_000
TARGET_LATENCY_MS = 1_000
# One large gateway in each failure domain, which gathers for a small one.
LARGE = 2
NODES = 4
SMALL_NODE = 'gateway-2'
KEYS = ('key-of-gold', 'second-key-of-gold')
UNKNOWN_KEY = 'key-of-nobody'
FORGED = {
    'Gypsumbridge-Tenant': 'basic',
    'GYPSUMBRIDGE_TENANT': 'basic',
    'Gypsumbridge_Credential': 'forged-key',
}


def make_config(version, gold_keys=KEYS):
    """Return routes to one searcher, a public one and a gather."""
    one = operator_config.make_route(
        '/one/', 's1', DEADLINE_MS, TARGET_LATENCY_MS
    )
    public = msgspec.structs.replace(
        one, name='public', prefix='/public/', public=True
    )
    gathered = operator_config.make_gather_route(
        '/all/', SERVICES, DEADLINE_MS, TARGET_LATENCY_MS, 5, 1.0
    )
    customers = (
        customer_body.CustomerBody('gold', list(gold_keys), priority=0),
        customer_body.CustomerBody('basic', ['key-of-basic']),
    )
    return operator_config.make_config(
        version, SERVICES, (one, public, gathered), customers
    )


class CustomersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        gateway_cluster.start_gateway_cluster(
            cls.cluster,
            make_config(1),
            SERVICES,
            NODES,
            relayed=True,
            large=LARGE,
        )
        cls.requests = 0
        cls.version = 1

    def control(self, **command):
        status, report = json_http.call_json(
            'POST', self.cluster.controls[0], '/', command
        )
        self.assertEqual(200, status)
        return report

    def write_config(self, **changes):
        type(self).version += 1
        self.control(config=make_config(self.version, **changes))

    def connect(self, node='gateway-0'):
        connection = http.client.HTTPConnection(
            self.cluster.nodes[node].http, timeout=30
        )
        self.addCleanup(connection.close)
        return connection

    def send(self, connection, target, key=None, **more_headers):
        """Return request id, status and headers of a response."""
        type(self).requests += 1
        request_id = f'q{self.requests}'
        if key is not None:
            more_headers[NAMES.key] = key
        status, headers, _ = plain_request.send(
            connection, request_id, target, None, DEADLINE_MS, more_headers
        )
        return request_id, status, headers

    def status(self, connection, target, key=None):
        return self.send(connection, target, key)[1]

    def wait_until_rejected(self, connection, key):
        """Wait for 401; a node that may be behind refuses until then."""
        statuses = set()

        def is_rejected():
            statuses.add(self.status(connection, '/one/x', key))
            return 401 in statuses

        clusters.wait_until(is_rejected, 'the key is rejected')
        return statuses - {401}

    def wait_for_status(self, status, connection, target, key):
        clusters.wait_until(
            lambda: self.status(connection, target, key) == status,
            f'{target} gets {status}',
        )

    def check_named(self, request_id, *customers):
        """Check what the searchers got of key and customer."""
        report = self.control()['customer_headers']
        self.assertEqual(
            [[NAMES.customer, name] for name in customers],
            report.get(request_id, []),
        )

    def test_searchers_get_the_customers_name_and_no_key(self):
        """Guards against a forged customer, and a key that is passed on."""
        connection = self.connect()
        request_id, status, _ = self.send(
            connection, '/one/x', KEYS[0], **FORGED
        )
        self.assertEqual(200, status)
        self.check_named(request_id, 'gold')

    def test_requests_without_a_known_key_are_rejected(self):
        """Guards against service for callers that are no customers."""
        for node in self.cluster.nodes:
            connection = self.connect(node)
            for key in (UNKNOWN_KEY, None, ''):
                with self.subTest(node=node, key=key):
                    before = self.wait_until_rejected(connection, key)
                    self.assertLessEqual(before, {503})

    def test_public_routes_need_no_key(self):
        """Guards against a public request that is rejected or named."""
        connection = self.connect()
        for key, names in (
            (None, ()),
            (UNKNOWN_KEY, ()),
            (KEYS[0], ('gold',)),
        ):
            with self.subTest(key=key):
                request_id, status, _ = self.send(
                    connection, '/public/x', key, **FORGED
                )
                self.assertEqual(200, status)
                self.check_named(request_id, *names)

    def test_a_withdrawn_key_ends_on_an_open_connection(self):
        """Guards against a connection that keeps its customer."""
        connections = [self.connect(node) for node in self.cluster.nodes]
        for connection in connections:
            self.assertEqual(200, self.status(connection, '/one/x', KEYS[1]))
        sockets = [connection.sock for connection in connections]
        self.write_config(gold_keys=KEYS[:1])
        for connection in connections:
            before = self.wait_until_rejected(connection, KEYS[1])
            self.assertLessEqual(before, {200, 503})
            self.assertEqual(200, self.status(connection, '/one/x', KEYS[0]))
        self.assertEqual(sockets, [c.sock for c in connections])
        self.write_config()
        for connection in connections:
            self.wait_for_status(200, connection, '/one/x', KEYS[1])

    def test_a_delegated_gather_keeps_its_customer(self):
        """Guards against parts that a coordinator sends for nobody."""
        connection = self.connect(SMALL_NODE)

        def is_delegated():
            request_id, status, _ = self.send(
                connection, '/all/x', KEYS[0], **FORGED
            )
            self.assertEqual(200, status)
            self.check_named(request_id, *('gold',) * len(SERVICES))
            return any(
                record.get('request_id') == request_id
                and record['message'] == 'request_finished'
                and record['customer'] == 'gold'
                for node in ('gateway-0', 'gateway-1')
                for record in self.cluster.read_log(node)
            )

        clusters.wait_until(is_delegated, 'a coordinator gathers')

    def test_a_node_without_the_store_rejects_nothing(self):
        """Guards against 401 for a key that the node has not heard of."""
        self.control(outage=True)
        self.addCleanup(self.control, outage=False)
        connection = self.connect()
        for target, key in (('/one/x', UNKNOWN_KEY), ('/none/x', KEYS[0])):
            self.wait_for_status(503, connection, target, key)
            _, status, headers = self.send(connection, target, key)
            self.assertEqual((503, '0.050'), (status, headers['Retry-After']))
        self.assertEqual(200, self.status(connection, '/one/x', KEYS[0]))
        self.control(outage=False)
        self.wait_until_rejected(connection, UNKNOWN_KEY)

    def test_logs_and_metrics_hold_no_key(self):
        """Guards against keys and digests in what operators read."""
        self.test_requests_without_a_known_key_are_rejected()
        texts = [str(self.cluster.read_log(n)) for n in self.cluster.nodes]
        for node in self.cluster.nodes.values():
            connection = http.client.HTTPConnection(node.peer, timeout=30)
            self.addCleanup(connection.close)
            connection.request('GET', '/')
            texts.append(connection.getresponse().read().decode())
        self.assertIn('unknown_key', ''.join(texts))
        for key in (*KEYS, UNKNOWN_KEY, 'key-of-basic', 'forged-key'):
            digest = forwarding.digest_keys((key,))
            for text in texts:
                self.assertNotIn(key, text)
                self.assertNotIn(digest.hex(), text)
                self.assertNotIn(repr(digest)[2:-1], text)
