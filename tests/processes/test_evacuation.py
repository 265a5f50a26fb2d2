import http.client
import itertools
import threading
import unittest

from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

SERVICES = ('s1', 's2', 's3')
DOMAIN = 'd1'
KEY = platform_adapter.make_adapter().schema.evacuation_prefix + DOMAIN
GAUGE = 'gypsumbridge_discovery_evacuated_domains'
DEADLINE_MS = 20_000
TARGET_LATENCY_MS = 1_000
NODES = 2
# Requests of each caller after the evacuation is in force.
REQUESTS = 60


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        routes = (
            operator_config.make_route(
                '/one/', 's1', DEADLINE_MS, TARGET_LATENCY_MS
            ),
            operator_config.make_route(
                '/once/', 's2', DEADLINE_MS, TARGET_LATENCY_MS, False
            ),
            operator_config.make_gather_route(
                '/all/', SERVICES, DEADLINE_MS, TARGET_LATENCY_MS, 5, 1.0
            ),
        )
        gateway_cluster.start_gateway_cluster(
            self.cluster,
            operator_config.make_config(1, SERVICES, routes),
            SERVICES,
            NODES,
        )
        self.statuses = {}
        self.sent = dict.fromkeys(self.cluster.nodes, 0)
        self.stopping = threading.Event()
        self.callers = [
            threading.Thread(target=self.call, args=(node,))
            for node in self.cluster.nodes
        ]
        for caller in self.callers:
            caller.start()
        self.addCleanup(self.stop_callers)

    def stop_callers(self):
        self.stopping.set()
        for caller in self.callers:
            caller.join()

    def call(self, node):
        """Send requests of all kinds to a gateway, one after another."""
        for prefix in itertools.cycle(('/one/', '/once/', '/all/')):
            if self.stopping.is_set():
                return
            request_id = f'{node}.{self.sent[node]}'
            self.sent[node] += 1
            connection = http.client.HTTPConnection(
                self.cluster.nodes[node].http, timeout=30
            )
            try:
                self.statuses[request_id], _, _ = plain_request.send(
                    connection, request_id, f'{prefix}x', None, DEADLINE_MS
                )
            except (OSError, http.client.HTTPException) as error:
                self.statuses[request_id] = repr(error)
            finally:
                connection.close()

    def control(self, **command):
        _, report = json_http.call_json(
            'POST', self.cluster.controls[0], '/', command
        )
        return report

    def read_gauge(self, node):
        connection = http.client.HTTPConnection(
            self.cluster.nodes[node].peer, timeout=30
        )
        try:
            connection.request('GET', '/')
            text = connection.getresponse().read().decode()
        finally:
            connection.close()
        values = [
            line.split()[1]
            for line in text.splitlines()
            if line.startswith(f'{GAUGE} ')
        ]
        return float(values[0]) if values else 0.0

    def wait_in_force(self, domains):
        for node in self.cluster.nodes:
            clusters.wait_until(
                lambda node=node: self.read_gauge(node) == domains,
                f'{domains} failure domains are evacuated at {node}',
            )

    def used_since(self, first):
        """Return the failure domains used after the given requests."""
        return {
            searcher_id.partition('-')[2]
            for request_id, searchers in self.control()['runs'].items()
            for node, number in (request_id.rsplit('.', 1),)
            if int(number) >= first[node]
            for searcher_id in searchers
        }

    def test_an_evacuation_takes_effect_and_is_taken_back(self):
        """Guards against requests to a failure domain under evacuation."""
        nothing = dict.fromkeys(self.sent, 0)
        clusters.wait_until(
            lambda: self.used_since(nothing) == {'d1', 'd2'},
            'both failure domains are used',
        )
        self.control(raw={KEY: ''})
        self.wait_in_force(1)
        first = dict(self.sent)
        clusters.wait_until(
            lambda: all(self.sent[n] > first[n] + REQUESTS for n in first),
            'requests are served during the evacuation',
        )
        self.assertEqual({'d2'}, self.used_since(first))
        self.control(deleted=[KEY])
        self.wait_in_force(0)
        after = dict(self.sent)
        clusters.wait_until(
            lambda: DOMAIN in self.used_since(after),
            'the failure domain is used again',
        )
        self.stop_callers()
        self.assertEqual({200}, set(self.statuses.values()))
        logged = self.cluster.read_decisions('gateway-0')
        self.assertIn('evacuation_began store', logged)
        self.assertIn('evacuation_ended store', logged)
