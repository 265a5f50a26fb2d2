import http.client
import signal
import threading
import time
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

SERVICES = ('s1',)
DEADLINE_MS = 2_000
# Three nodes in each failure domain.
NODES = 6
AWAY_MS = 800
REWRITE_MS = 5_000
ALL = '/all/'


def make_config(version):
    """Return a configuration whose own route later versions withdraw."""
    return operator_config.make_config(
        version,
        SERVICES,
        tuple(
            operator_config.make_route(prefix, 's1', DEADLINE_MS, DEADLINE_MS)
            for prefix in (ALL, f'/v{version}/')
        ),
    )


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        gateway_cluster.start_gateway_cluster(
            self.cluster, make_config(1), SERVICES, NODES, relayed=True, era=1
        )
        clusters.wait_until(
            lambda: len(self.followers()) == NODES - 2, 'updates are relayed'
        )
        self.sent = 0

    def control(self, **command):
        return json_http.call_json(
            'POST', self.cluster.controls[0], '/', command
        )

    def followers(self):
        """Return the nodes that take their updates from a relay."""
        found = []
        for node in self.cluster.nodes:
            changes = self.find_lines(node, 'update_source_changed')
            if changes and changes[-1]['source'] != 'store':
                found.append(node)
        return found

    def find_lines(self, node, name):
        lines = self.cluster.read_log(node)
        return [line for line in lines if line['message'] == name]

    def send(self, node, prefix):
        """Return the status of a request, 0 without a response."""
        self.sent += 1
        connection = http.client.HTTPConnection(
            self.cluster.nodes[node].http, timeout=5
        )
        try:
            return plain_request.send(
                connection, f'q{self.sent}', prefix, None, DEADLINE_MS
            )[0]
        except OSError:
            return 0
        finally:
            connection.close()

    def wait_in_force(self, nodes, prefix, status):
        for node in nodes:
            clusters.wait_until(
                lambda node=node: self.send(node, prefix) == status,
                f'{prefix} has {status} at {node}',
            )

    def test_traffic_goes_on_and_the_configuration_does_not_go_back(self):
        """Guards against a withdrawn route that a restored store revives.

        The copy has version 1 and lacks a searcher's newer entry. A node
        that restarts before the operator has written version 2 again gets
        it from its relay.
        """
        nodes = sorted(self.cluster.nodes)
        restarted = sorted(self.followers())[0]
        self.control(copy=True)
        self.control(config=make_config(2), states={'s1-d1': 'ready'})
        self.wait_in_force(nodes, '/v2/', 200)
        self.wait_in_force(nodes, '/v1/', 404)
        statuses = []
        stopping = threading.Event()

        def send_traffic():
            while not stopping.is_set():
                for node in nodes:
                    if node != restarted:
                        statuses.append((node, self.send(node, ALL)))
                        withdrawn = self.send(node, '/v1/')
                        statuses.append((node, 200 + (withdrawn != 404)))

        traffic = threading.Thread(target=send_traffic)
        traffic.start()
        self.addCleanup(traffic.join)
        self.addCleanup(stopping.set)
        self.control(drill={'away_ms': AWAY_MS, 'rewrite_ms': REWRITE_MS})
        started = time.monotonic()
        for node in nodes:
            clusters.wait_until(
                lambda node=node: self.find_lines(node, 'store_era_began'),
                f'{node} knows the new era',
            )
        self.cluster.signal(restarted, signal.SIGKILL)
        self.cluster.processes[restarted].wait()
        gateway_cluster.spawn_gateway(self.cluster, restarted)
        self.wait_in_force([restarted], ALL, 200)
        found = self.send(restarted, '/v2/'), self.send(restarted, '/v1/')
        rewritten_s = (AWAY_MS + REWRITE_MS) / 1_000
        self.assertLess(time.monotonic() - started, rewritten_s)
        self.assertEqual((200, 404), found)
        time.sleep(rewritten_s)
        self.control(config=make_config(3))
        self.wait_in_force(nodes, '/v3/', 200)
        stopping.set()
        traffic.join()
        self.assertGreater(len(statuses), 100)
        self.assertEqual({200}, {status for _, status in statuses})
