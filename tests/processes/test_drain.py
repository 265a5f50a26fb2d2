import subprocess
import sys
import time
import unittest

from gypsumbridge_decisions import resources
from gypsumbridge_decisions import routing
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import node_address
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build
from tests.processes import load

DOMAINS = ('fd-a', 'fd-b', 'fd-c')
# Four nodes are in fd-a; two of them are its relays.
NODE_DOMAINS = ('fd-a', 'fd-a', 'fd-a', 'fd-a', 'fd-b', 'fd-c')
RELAYS_PER_DOMAIN = 2
# Time after which a leaving endpoint must receive no new requests.
LEAVING_BOUND_S = 3.0
SEND_INTERVAL_S = 0.1


class DrainTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        searcher_ports = ports.find_free_ports(
            build.count_searchers(build.SMALL_GROUPS)
        )
        deployment = build.build(build.SMALL_GROUPS, searcher_ports, 5.0)
        start.start_platform(self.cluster, deployment)
        start.declare(self.cluster, deployment.specs)
        node_ports = ports.find_free_ports(2 * len(NODE_DOMAINS))
        for number, domain in enumerate(NODE_DOMAINS):
            node = node_address.NodeAddress(
                f'node-{number}',
                domain,
                f'127.0.0.1:{node_ports[2 * number]}',
                f'127.0.0.1:{node_ports[2 * number + 1]}',
            )
            start.start_node(self.cluster, node, DOMAINS)
        for node in self.cluster.nodes.values():
            start.wait_ready(node)
        self.endpoints = [
            spec.name
            for spec in deployment.specs
            if isinstance(spec, resources.Endpoint)
        ]

    def received_count(self, endpoint):
        address = self.cluster.controls[0]
        _, counts = json_http.call_json('GET', address, '/')
        return counts[endpoint]['received']

    def gets_requests(self, endpoint):
        count_before = self.received_count(endpoint)
        time.sleep(0.3)
        return self.received_count(endpoint) > count_before

    def ctl(self, node, *arguments):
        process = subprocess.run(
            [sys.executable, '-m', 'gypsumbridge_ctl', 'drain', *arguments]
            + ['--server', node.http],
            capture_output=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(0, process.returncode, process.stderr)

    def test_a_drain_by_a_node_that_is_no_relay(self):
        """Guards against a declaration that reaches only the node that wrote
        it, so that the owner keeps using the leaving endpoint.
        """
        ids = [n for n, d in enumerate(NODE_DOMAINS) if d == 'fd-a']
        ordered = routing.ordered([f'node-{n}' for n in ids], 'fd-a')
        node = self.cluster.nodes[ordered[RELAYS_PER_DOMAIN]]
        endpoint = self.endpoints[0]

        def endpoint_gets_requests():
            return self.gets_requests(endpoint)

        with load.Load(
            list(self.cluster.nodes.values()), 0, interval_s=SEND_INTERVAL_S
        ):
            clusters.wait_until(endpoint_gets_requests, 'it gets requests')
            drained_at_s = time.monotonic()
            self.ctl(node, endpoint)
            time.sleep(
                max(drained_at_s + LEAVING_BOUND_S - time.monotonic(), 0)
            )
            self.assertFalse(
                endpoint_gets_requests() or endpoint_gets_requests()
            )
            self.ctl(node, endpoint, '--undo')
            clusters.wait_until(
                endpoint_gets_requests, 'it gets requests again'
            )
