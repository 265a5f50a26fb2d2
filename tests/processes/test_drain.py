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
# Four nodes share fd-a, of which two are its relays.
PLACES = ('fd-a', 'fd-a', 'fd-a', 'fd-a', 'fd-b', 'fd-c')
RELAYS = 2
# The design bound after which a leaving endpoint gets no new work.
BOUND_S = 3.0
PAUSE_S = 0.1


class DrainTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        chosen = ports.free_ports(build.count_searchers(build.SMALL_GROUPS))
        deployment = build.build(build.SMALL_GROUPS, chosen, 5.0)
        start.start_platform(self.cluster, deployment)
        start.declare(self.cluster, deployment.specs)
        free = ports.free_ports(2 * len(PLACES))
        for number, domain in enumerate(PLACES):
            node = node_address.NodeAddress(
                f'node-{number}',
                domain,
                f'127.0.0.1:{free[2 * number]}',
                f'127.0.0.1:{free[2 * number + 1]}',
            )
            start.start_node(self.cluster, node, DOMAINS)
        for node in self.cluster.nodes.values():
            start.wait_ready(node)
        self.endpoints = [
            spec.name
            for spec in deployment.specs
            if isinstance(spec, resources.Endpoint)
        ]

    def received(self, endpoint):
        address = self.cluster.controls[0]
        _, counts = json_http.call_json('GET', address, '/')
        return counts[endpoint]['received']

    def gets_work(self, endpoint):
        before = self.received(endpoint)
        time.sleep(0.3)
        return self.received(endpoint) > before

    def ctl(self, node, *arguments):
        ended = subprocess.run(
            [sys.executable, '-m', 'gypsumbridge_ctl', 'drain', *arguments]
            + ['--server', node.http],
            capture_output=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(0, ended.returncode, ended.stderr)

    def test_a_drain_by_a_node_that_is_no_relay(self):
        """Guards against an endpoint that its owner uses on because only
        relays pass on what an operator declared.
        """
        ids = [n for n, d in enumerate(PLACES) if d == 'fd-a']
        ordered = routing.ordered([f'node-{n}' for n in ids], 'fd-a')
        node = self.cluster.nodes[ordered[RELAYS]]
        endpoint = self.endpoints[0]

        def gets_work():
            return self.gets_work(endpoint)

        with load.Load(list(self.cluster.nodes.values()), 0, pause_s=PAUSE_S):
            clusters.wait_until(gets_work, 'it gets work')
            before = time.monotonic()
            self.ctl(node, endpoint)
            time.sleep(max(before + BOUND_S - time.monotonic(), 0))
            self.assertFalse(gets_work() or gets_work())
            self.ctl(node, endpoint, '--undo')
            clusters.wait_until(gets_work, 'it gets work again')
