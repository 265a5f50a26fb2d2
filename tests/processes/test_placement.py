import http.client
import signal
import unittest

from gypsumbridge_platform import customer_body
from gypsumbridge_platform import header_names
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

NAMES = header_names.HEADERS
SERVICES = ('s1',)
DEADLINE_MS = 20_000
OBJECTIVE_MS = 1_000
# Four for each of the two slots of the only searcher.
NODES = 8
COORDINATOR = 'gateway-0'
KEY = 'key-of-gold'


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        one = operator_config.make_route(
            '/one/', 's1', DEADLINE_MS, OBJECTIVE_MS
        )
        customers = (customer_body.CustomerBody('gold', [KEY], priority=0),)
        gateway_cluster.start_gateway_cluster(
            self.cluster,
            operator_config.make_config(1, SERVICES, (one,), customers),
            SERVICES,
            NODES,
            relayed=True,
            large=1,
            single_services={'s1': 'd1'},
            more_settings='[admission]\ncontrol_load = true\n',
        )
        self.requests = 0

    def fetch(self, node):
        """Returns the id and the status of a request."""
        self.requests += 1
        request_id = f'q{self.requests}'
        address = self.cluster.nodes[node].http
        connection = http.client.HTTPConnection(address, timeout=30)
        self.addCleanup(connection.close)
        status, _, _ = plain_request.send(
            connection,
            request_id,
            '/one/x',
            None,
            DEADLINE_MS,
            {NAMES.key: KEY},
        )
        return request_id, status

    def is_placed(self, node):
        request_id, status = self.fetch(node)
        self.assertEqual(200, status)
        return any(
            line.get('request_id') == request_id
            and line.get('coordinator') == COORDINATOR
            for line in self.cluster.read_log(node)
        )

    def test_requests_are_placed_and_survive_their_coordinator(self):
        """Guards against a response, a customer or a node lost on the way."""
        clusters.wait_until(
            lambda: self.is_placed('gateway-3'), 'requests are placed'
        )
        request_id, status = self.fetch('gateway-2')
        self.assertEqual(200, status)
        report = json_http.call_json(
            'POST', self.cluster.controls[0], '/', {}
        )[1]
        self.assertEqual(1, len(report['runs'][request_id]))
        self.assertEqual(
            [[NAMES.customer, 'gold']], report['customer_headers'][request_id]
        )
        self.cluster.signal(COORDINATOR, signal.SIGKILL)
        for number in range(1, NODES):
            self.assertEqual(200, self.fetch(f'gateway-{number}')[1])
