import http.client
import unittest

from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

SERVICES = ('s1', 's2', 's3')
KEY = platform_adapter.make_adapter().schema.evacuation_prefix + 'd1'
GAUGE = 'gypsumbridge_discovery_evacuated_domains'
TIMES_MS = (20_000, 1_000)
NODES = 2
ROUNDS = 20
ROUTES = (
    operator_config.make_route('/one/', 's1', *TIMES_MS),
    operator_config.make_route('/once/', 's2', *TIMES_MS, False),
    operator_config.make_gather_route('/all/', SERVICES, *TIMES_MS, 5, 1.0),
)


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        config = operator_config.make_config(1, SERVICES, ROUTES)
        gateway_cluster.start_gateway_cluster(
            self.cluster, config, SERVICES, NODES
        )
        self.sent = 0

    def control(self, **command):
        _, report = json_http.call_json(
            'POST', self.cluster.controls[0], '/', command
        )
        return report

    def send_round(self):
        """Send each kind to each gateway; return the domains that ran them."""
        request_ids = []
        for node in self.cluster.nodes.values():
            connection = http.client.HTTPConnection(node.http, timeout=30)
            for route in ROUTES:
                self.sent += 1
                request_ids.append(f'q{self.sent}')
                status, _, _ = plain_request.send(
                    connection, request_ids[-1], route.prefix, None, 20_000
                )
                self.assertEqual(200, status)
            connection.close()
        runs = self.control()['runs']
        searchers = [s for name in request_ids for s in runs[name]]
        return {searcher.partition('-')[2] for searcher in searchers}

    def shows(self, count):
        """Return whether the gauges of all gateways have a value."""
        for node in self.cluster.nodes.values():
            connection = http.client.HTTPConnection(node.peer, timeout=30)
            connection.request('GET', '/')
            text = connection.getresponse().read().decode()
            connection.close()
            if f'{GAUGE} {count}\n' not in text:
                return False
        return True

    def test_an_evacuation_takes_effect_and_is_taken_back(self):
        """Guards against requests to a failure domain under evacuation."""
        clusters.wait_until(lambda: 'd1' in self.send_round(), 'd1 is used')
        self.control(raw={KEY: ''})
        clusters.wait_until(
            lambda: self.send_round() and self.shows(1), 'd1 is evacuated'
        )
        for _ in range(ROUNDS):
            self.assertEqual({'d2'}, self.send_round())
        self.control(deleted=[KEY])
        clusters.wait_until(
            lambda: 'd1' in self.send_round() and self.shows(0),
            'd1 is used again',
        )
        logged = self.cluster.read_decisions('gateway-0')
        self.assertIn('evacuation_began store', logged)
        self.assertIn('evacuation_ended store', logged)
