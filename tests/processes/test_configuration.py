import http.client
import json
import signal
import time
import unittest

from gypsumbridge_decisions import resources
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import small_deployment
from gypsumbridge_standins.cluster import start

DOMAINS = ('fd-a', 'fd-b', 'fd-c')
FRESHNESS_BOUND_S = 3.0


class ConfigurationTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        small_deployment.start_small_deployment(cls.cluster, 3)

    def setUp(self):
        self.addCleanup(self.set_outage, False)

    def set_outage(self, outage):
        command = {'outage': outage}
        json_http.call_json('POST', self.cluster.store, '/control', command)

    def delete_rank(self, name):
        path = f'/v1/keys/config%2Franks%2F{name}'
        _, item = json_http.call_json('GET', self.cluster.store, path)
        path += f'?if_revision={item["items"][0]["revision"]}'
        json_http.call_json('DELETE', self.cluster.store, path)

    def make_query(self, rank):
        return {
            'service': 'verify-portal',
            'rank': rank,
            'deadline_ms': 2_000,
            'query': {},
        }

    def query(self, node, rank='border'):
        return json_http.call_json(
            'POST', node.http, '/v1/query', self.make_query(rank)
        )

    def wait_status(self, node, rank, status):
        clusters.wait_until(
            lambda: self.query(node, rank)[0] == status,
            f'{node.node_id} answers {status} to {rank}',
        )

    def test_a_written_change_reaches_every_node(self):
        """Guards against nodes that do not apply a changed configuration."""
        start.declare(self.cluster, (resources.Rank('added', 3, 0.01, 900),))
        for node in self.cluster.nodes.values():
            self.wait_status(node, 'added', 200)
        self.delete_rank('added')
        for node in self.cluster.nodes.values():
            self.wait_status(node, 'added', 404)

    def test_queries_continue_during_a_store_outage(self):
        """Guards against nodes that refuse queries during a store outage."""
        self.set_outage(True)
        end_s = time.monotonic() + 2 * FRESHNESS_BOUND_S
        while time.monotonic() < end_s:
            for node in self.cluster.nodes.values():
                status, answer = self.query(node)
                self.assertEqual((200, []), (status, answer['missing']))

    def test_a_node_restarts_during_a_store_outage(self):
        """Guards against a node that cannot start without the store."""
        self.set_outage(True)
        node = self.cluster.nodes['node-2']
        self.cluster.signal('node-2', signal.SIGKILL)
        self.cluster.wait('node-2')
        start.start_node(self.cluster, node, DOMAINS)
        start.wait_ready(node)
        status, answer = self.query(node)
        self.assertEqual((200, []), (status, answer['missing']))

    def test_a_paused_node_never_answers_by_a_replaced_configuration(self):
        """Guards against a resumed node that runs the queries queued in its
        sockets before it checks the age of its configuration.
        """
        start.declare(self.cluster, (resources.Rank('old', 3, 0.01, 900),))
        nodes = list(self.cluster.nodes.values())
        for node in nodes:
            self.wait_status(node, 'old', 200)
        paused = nodes.pop()
        self.cluster.signal(paused.node_id, signal.SIGSTOP)
        self.addCleanup(self.cluster.signal, paused.node_id, signal.SIGCONT)
        self.delete_rank('old')
        for node in nodes:
            self.wait_status(node, 'old', 404)
        deleted_at_s = time.monotonic()
        clusters.wait_until(
            lambda: time.monotonic() - deleted_at_s > FRESHNESS_BOUND_S + 0.5,
            'the freshness bound has passed',
        )
        connections = [self.send_query(paused, 'old') for _ in range(20)]
        self.cluster.signal(paused.node_id, signal.SIGCONT)
        statuses = {c.getresponse().status for c in connections}
        self.assertLessEqual(statuses, {404, 503})
        self.wait_status(paused, 'old', 404)

    def send_query(self, node, rank):
        host, port = node.http.rsplit(':', 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        self.addCleanup(connection.close)
        content = json.dumps(self.make_query(rank))
        connection.request('POST', '/v1/query', content)
        return connection
