import http.client
import unittest

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
COORDINATORS = ('gateway-0', 'gateway-1')
KEYS = ('key-of-gold', 'second-key-of-gold')
UNKNOWN_KEY = 'key-of-nobody'
FORGED = {
    'Gypsumbridge-Tenant': 'basic',
    'GYPSUMBRIDGE_TENANT': 'basic',
    'Gypsumbridge_Credential': 'forged-key',
}


def make_config(version, gold_keys=KEYS):
    """Return routes to one searcher, a public one and a gather."""
    times = (DEADLINE_MS, TARGET_LATENCY_MS)
    one = operator_config.make_route('/one/', 's1', *times)
    public = operator_config.make_route('/public/', 's1', *times, public=True)
    gathered = operator_config.make_gather_route(
        '/all/', SERVICES, *times, 5, 1.0
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

    def control(self, **command):
        return json_http.call_json(
            'POST', self.cluster.controls[0], '/', command
        )[1]

    def connect(self, node='gateway-0'):
        connection = http.client.HTTPConnection(
            self.cluster.nodes[node].http, timeout=30
        )
        self.addCleanup(connection.close)
        return connection

    def send(self, connection, target, key):
        """Return request id, status and wait of a request."""
        type(self).requests += 1
        request_id = f'q{self.requests}'
        sent = FORGED if key is None else {**FORGED, NAMES.key: key}
        status, headers, _ = plain_request.send(
            connection, request_id, target, None, DEADLINE_MS, sent
        )
        return request_id, status, headers.get('Retry-After')

    def wait_for(self, expected, connection, target, key, before=frozenset()):
        """Wait for a status; until then, the node may answer `before`."""

        def is_reached():
            status = self.send(connection, target, key)[1]
            self.assertIn(status, {expected, *before})
            return status == expected

        clusters.wait_until(is_reached, f'{target} gets {expected}')

    def check_served(self, connection, target, key, name):
        """Check that each run of a request got just the customer's name."""
        request_id, status, _ = self.send(connection, target, key)
        self.assertEqual(200, status)
        report = self.control()
        runs = len(report['runs'][request_id])
        self.assertEqual(
            [[NAMES.customer, name]] * runs if name else [],
            report['customer_headers'].get(request_id, []),
        )
        return request_id

    def test_searchers_get_the_customers_name_and_no_key(self):
        """Guards against a forged customer, and a key that is passed on."""
        connection = self.connect()
        self.check_served(connection, '/one/x', KEYS[0], 'gold')
        self.check_served(connection, '/public/x', KEYS[0], 'gold')
        self.check_served(connection, '/public/x', None, '')
        self.check_served(connection, '/public/x', UNKNOWN_KEY, '')

    def test_unknown_keys_are_rejected_and_in_no_log(self):
        """Guards against service for nobody, and against disclosed keys."""
        texts = []
        for name, node in self.cluster.nodes.items():
            connection = self.connect(name)
            for key in (UNKNOWN_KEY, None, ''):
                self.wait_for(401, connection, '/one/x', key, {503})
            self.check_served(connection, '/one/x', KEYS[0], 'gold')
            metrics = http.client.HTTPConnection(node.peer, timeout=30)
            self.addCleanup(metrics.close)
            metrics.request('GET', '/')
            texts.append(metrics.getresponse().read().decode())
            texts.append(str(self.cluster.read_log(name)))
        text = ''.join(texts)
        self.assertIn('unknown_key', text)
        for key in (*KEYS, UNKNOWN_KEY, 'forged-key'):
            digest = forwarding.digest_keys((key,))
            for secret in (key, digest.hex(), repr(digest)[2:-1]):
                self.assertNotIn(secret, text)

    def test_a_withdrawn_key_ends_on_an_open_connection(self):
        """Guards against a connection that keeps its customer."""
        connections = [self.connect(node) for node in self.cluster.nodes]
        for connection in connections:
            self.check_served(connection, '/one/x', KEYS[1], 'gold')
        sockets = [connection.sock for connection in connections]
        self.control(config=make_config(2, KEYS[:1]))
        for connection in connections:
            self.wait_for(401, connection, '/one/x', KEYS[1], {200, 503})
            self.check_served(connection, '/one/x', KEYS[0], 'gold')
        self.assertEqual(sockets, [c.sock for c in connections])
        self.control(config=make_config(3))
        for connection in connections:
            self.wait_for(200, connection, '/one/x', KEYS[1], {401, 503})

    def test_a_delegated_gather_keeps_its_customer(self):
        """Guards against parts that a coordinator sends for nobody."""
        connection = self.connect(SMALL_NODE)

        def is_delegated():
            request_id = self.check_served(
                connection, '/all/x', KEYS[0], 'gold'
            )
            return any(
                record['message'] == 'request_finished'
                and (record['request_id'], record['customer'])
                == (request_id, 'gold')
                for node in COORDINATORS
                for record in self.cluster.read_log(node)
            )

        clusters.wait_until(is_delegated, 'a coordinator gathers')

    def test_a_node_without_the_store_rejects_nothing(self):
        """Guards against 401 for a key that the node has not heard of."""
        self.control(outage=True)
        self.addCleanup(self.control, outage=False)
        connection = self.connect()
        for target, key, before in (
            ('/one/x', UNKNOWN_KEY, {401}),
            ('/none/x', KEYS[0], {404}),
        ):
            self.wait_for(503, connection, target, key, before)
            answer = self.send(connection, target, key)
            self.assertEqual((503, '0.050'), answer[1:])
        self.check_served(connection, '/one/x', KEYS[0], 'gold')
        self.control(outage=False)
        self.wait_for(401, connection, '/one/x', UNKNOWN_KEY, {503})
