import http.client
import signal
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

SERVICES = ('s1',)
DEADLINE_MS = 20_000
# Three nodes in each failure domain.
NODES = 6


def make_config(version):
    return operator_config.make_config(
        version,
        SERVICES,
        (
            operator_config.make_route(
                f'/v{version}/', 's1', DEADLINE_MS, DEADLINE_MS
            ),
        ),
    )


class RelaysTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        gateway_cluster.start_gateway_cluster(
            self.cluster, make_config(1), SERVICES, NODES, relayed=True
        )
        clusters.wait_until(
            lambda: len(self.followers()) == NODES - 2, 'updates are relayed'
        )

    def control(self, **command):
        _, report = json_http.call_json(
            'POST', self.cluster.controls[0], '/', command
        )
        return report

    def read_update_source(self, node):
        """Return the last update source that a node has logged."""
        sources = [
            line['source']
            for line in self.cluster.read_log(node)
            if line['message'] == 'update_source_changed'
        ]
        return sources[-1] if sources else 'store'

    def followers(self):
        return [
            n
            for n in self.cluster.nodes
            if self.read_update_source(n) != 'store'
        ]

    def has_version(self, node, version):
        connection = http.client.HTTPConnection(
            self.cluster.nodes[node].http, timeout=30
        )
        try:
            status, _, _ = plain_request.send(
                connection, f'{node}.{version}', f'/v{version}/', None, 900
            )
            return status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_in_force(self, version, nodes):
        for node in nodes:
            clusters.wait_until(
                lambda node=node: self.has_version(node, version),
                f'version {version} is in force at {node}',
            )

    def test_a_configuration_reaches_every_node(self):
        """Guards against nodes that miss changes in the store."""
        self.control(config=make_config(2))
        self.wait_in_force(2, self.cluster.nodes)

    def test_a_configuration_survives_the_loss_of_a_relay(self):
        """Guards against followers that wait for a lost relay."""
        followers = self.followers()
        for node in sorted(self.cluster.nodes):
            if node not in followers:
                self.cluster.signal(node, signal.SIGKILL)
        self.control(config=make_config(2))
        self.wait_in_force(2, followers)

    def test_a_configuration_passes_a_frozen_relay(self):
        """Guards against followers that keep a relay which is connected but
        unresponsive.
        """
        followers = self.followers()
        frozen = [n for n in self.cluster.nodes if n not in followers]
        for node in frozen:
            self.cluster.signal(node, signal.SIGSTOP)
        self.control(config=make_config(2))
        self.wait_in_force(2, followers)
        for node in frozen:
            self.cluster.signal(node, signal.SIGCONT)
        self.wait_in_force(2, frozen)
