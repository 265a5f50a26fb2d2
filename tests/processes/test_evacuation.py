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
GAUGE = 'gypsumbridge_discovery_evacuated_domains '
TIMES_MS = (20_000, 1_000)
NODES = 2
# Requests of each caller after the evacuation is in force.
REQUESTS = 60
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
        self.statuses = []
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
        address = self.cluster.nodes[node].http
        for route in itertools.cycle(ROUTES):
            if self.stopping.is_set():
                return
            request_id = f'{node}.{self.sent[node]}'
            self.sent[node] += 1
            connection = http.client.HTTPConnection(address, timeout=30)
            try:
                status, _, _ = plain_request.send(
                    connection, request_id, route.prefix, None, TIMES_MS[0]
                )
            except (OSError, http.client.HTTPException) as error:
                status = repr(error)
            connection.close()
            self.statuses.append(status)

    def control(self, **command):
        _, report = json_http.call_json(
            'POST', self.cluster.controls[0], '/', command
        )
        return report

    def shows(self, node, count):
        """Return whether the gauge of a gateway has a value."""
        address = self.cluster.nodes[node].peer
        connection = http.client.HTTPConnection(address, timeout=30)
        connection.request('GET', '/')
        text = connection.getresponse().read().decode()
        connection.close()
        return f'{GAUGE}{count}\n' in text

    def wait_in_force(self, count):
        """Wait until the gateways know; return the numbers sent so far."""
        for node in self.cluster.nodes:
            clusters.wait_until(
                lambda node=node: self.shows(node, count),
                f'{count} failure domains are evacuated at {node}',
            )
        return dict(self.sent)

    def used_since(self, first):
        """Return the failure domains that ran requests since then."""
        return {
            searcher_id.partition('-')[2]
            for request_id, searchers in self.control()['runs'].items()
            for node, number in (request_id.rsplit('.', 1),)
            if int(number) >= first.get(node, 0)
            for searcher_id in searchers
        }

    def test_an_evacuation_takes_effect_and_is_taken_back(self):
        """Guards against requests to a failure domain under evacuation."""
        clusters.wait_until(
            lambda: self.used_since({}) == {'d1', 'd2'}, 'both are used'
        )
        self.control(raw={KEY: ''})
        first = self.wait_in_force(1)
        clusters.wait_until(
            lambda: all(self.sent[n] > first[n] + REQUESTS for n in first),
            'requests are served during the evacuation',
        )
        self.assertEqual({'d2'}, self.used_since(first))
        self.control(deleted=[KEY])
        first = self.wait_in_force(0)
        clusters.wait_until(
            lambda: DOMAIN in self.used_since(first), 'it is used again'
        )
        self.stop_callers()
        self.assertEqual({200}, set(self.statuses))
        logged = self.cluster.read_decisions('gateway-0')
        self.assertIn('evacuation_began store', logged)
        self.assertIn('evacuation_ended store', logged)
