import http.client
import json
import signal
import socket
import threading
import time
import unittest

from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import small_deployment
from gypsumbridge_standins.cluster import start
from tests.processes import load

DOMAINS = ('fd-a', 'fd-b', 'fd-c')
LAG_MS = 1_000
BODY = json.dumps(
    {
        'service': 'verify-portal',
        'rank': 'border',
        'deadline_ms': 5_000,
        'query': {},
    }
).encode()


class StopTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.balancer_lag_ms = LAG_MS
        small_deployment.start_small_deployment(cls.cluster, 4)
        cls.nodes = list(cls.cluster.nodes.values())

    def stop_node(self, node):
        """Send SIGTERM, and start the node again after the test."""
        self.log_length_at_stop = len(
            self.cluster.read_decisions(node.node_id)
        )
        self.cluster.signal(node.node_id, signal.SIGTERM)
        self.addCleanup(self.restart, node)

    def restart(self, node):
        start.start_node(self.cluster, node, DOMAINS)
        start.wait_ready(node)

    def wait_phase(self, node, phase):
        clusters.wait_until(
            lambda: (
                f'stop_phase {phase}'
                in self.cluster.read_decisions(node.node_id)[
                    self.log_length_at_stop :
                ]
            ),
            f'{node.node_id} is {phase}',
            20,
        )

    def connect(self, node):
        connection = http.client.HTTPConnection(
            *node.http.split(':'), timeout=60
        )
        self.addCleanup(connection.close)
        return connection

    def get(self, connection, path):
        connection.request('GET', path)
        response = connection.getresponse()
        json.loads(response.read())
        return response

    def test_a_body_that_is_still_arriving(self):
        """Guards against an exit before a query that no task has yet."""
        node = self.nodes[0]
        host, port = node.http.split(':')
        with socket.create_connection((host, int(port)), 60) as connection:
            head = b'POST /v1/query HTTP/1.1\r\nHost: x\r\n'
            head += b'Content-Length: %d\r\n\r\n' % len(BODY)
            connection.sendall(head + BODY[:10])
            self.stop_node(node)
            self.wait_phase(node, 'draining')
            # Longer than a node takes to exit with nothing in flight.
            time.sleep(1.0)
            connection.sendall(BODY[10:])
            received = connection.makefile('rb').read()
        self.assertIn(b'"run_state":"not_run"', received)
        self.assertEqual(0, self.cluster.wait(node.node_id))

    def test_an_operators_request_and_its_connection(self):
        """Guards against a long poll that is aborted or delays the stop, and
        against requests on a connection that the exit closes.
        """
        node = self.nodes[1]
        idle = self.connect(node)
        self.assertIsNone(self.get(idle, '/v1/nodes').getheader('Connection'))
        polling = self.connect(node)
        path = '/v1/resources?watch_from=999999999&wait_ms=30000'
        responses = []
        thread = threading.Thread(
            target=lambda: responses.append(self.get(polling, path))
        )
        thread.start()
        clusters.wait_until(
            lambda: self.count_watches(idle), 'the long poll waits', 20
        )
        self.stop_node(node)
        self.wait_phase(node, 'lagging')
        last = self.get(idle, '/v1/nodes')
        self.assertEqual('close', last.getheader('Connection'))
        self.assertEqual(0, self.cluster.wait(node.node_id, 20))
        thread.join()
        self.assertEqual([200], [response.status for response in responses])

    def count_watches(self, connection):
        connection.request('GET', '/v1/nodes')
        answer = json.loads(connection.getresponse().read())
        return answer['tasks']['operator_http']['watches']

    def test_two_nodes_stop_at_the_same_moment(self):
        """Guards against two stopping nodes that assign shards to each
        other, and against requests that are lost between them.
        """
        # The second pair is the two nodes of one failure domain.
        for pair in ((1, 2), (0, 3)):
            with load.Load(self.nodes, 0.6 * LAG_MS / 1_000) as traffic:
                time.sleep(0.5)
                for number in pair:
                    node_id = self.nodes[number].node_id
                    self.cluster.signal(node_id, signal.SIGTERM)
                exit_statuses = [
                    self.cluster.wait(self.nodes[number].node_id)
                    for number in pair
                ]
                time.sleep(0.5)
            for number in pair:
                self.restart(self.nodes[number])
            self.assertEqual([0, 0], exit_statuses)
            failed = [o for o in traffic.outcomes if o[1] != 200]
            self.assertEqual(
                [], failed[:3], f'{len(failed)} {len(traffic.outcomes)}'
            )
            for _, _, answer in traffic.outcomes:
                self.assertEqual(
                    (1, []), (answer['coverage'], answer['missing'])
                )
            stopped = {self.nodes[number].node_id for number in pair}
            self.assertLessEqual(stopped, {o[0] for o in traffic.outcomes})
