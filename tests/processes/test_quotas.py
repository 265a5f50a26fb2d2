import http.client
import json
import signal
import time
import unittest

from gypsumbridge_decisions import quotas
from gypsumbridge_platform import customer_body
from gypsumbridge_platform import header_names
from gypsumbridge_platform import store_calls
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request
from gypsumbridge_standins.users_platform import platform_state
from gypsumbridge_wire import grants

SERVICES = ('s1',)
DEADLINE_MS = 5_000
WINDOW_MS = 5_000
PARTITIONS = 3
KEY = 'key-of-ann'
SETTINGS = '[quota]\nholder_ttl_s = 10\nfirst_start = {first_start}\n'
# Attempts of a caller that is told to use another node.
MAX_TRIES = 100


class QuotasTest(unittest.TestCase):
    def start(self, rate_per_s, burst, holders=(), era=None):
        """Start three gateways; `holders` are written before they start.

        The platform's copy of the store is from before that.
        """
        self.requests = 0
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        route = operator_config.make_route(
            '/one/', 's1', DEADLINE_MS, DEADLINE_MS
        )
        customer = customer_body.CustomerBody(
            'ann', [KEY], rate_per_s=rate_per_s, burst=burst
        )
        config = operator_config.make_config(1, SERVICES, (route,), [customer])
        gateway_cluster.start_gateway_cluster(
            self.cluster, config, SERVICES, 0, era=era
        )
        clusters.wait_until(lambda: self.control(copy=True), 'it answers')
        values = {
            f'quotas/{n}': json.dumps({'node_id': holder, 'claim': 2})
            for n, holder in enumerate(holders)
        }
        self.control(raw=values)
        settings = SETTINGS.format(first_start=str(not holders).lower())
        count = gateway_cluster.GATEWAY_PORTS + gateway_cluster.PEER_PORTS
        self.peers = []
        for number in range(3):
            listen = ports.find_free_ports(count)
            self.peers.append(listen[gateway_cluster.GATEWAY_PORTS])
            gateway_cluster.start_gateway(
                self.cluster, number, listen, more_settings=settings
            )
        self.nodes = tuple(self.cluster.nodes)
        self.wait_until_granted()
        for node in self.nodes:
            self.send_until_answered((node,))

    def control(self, **command):
        """Return whether the platform has carried out a command."""
        try:
            status, _ = json_http.call_json(
                'POST', self.cluster.controls[0], '/', command
            )
        except OSError:
            return False
        return status == 200

    def wait_until_granted(self):
        """Wait until each partition has a holder that grants tokens."""
        for partition in range(PARTITIONS):
            clusters.wait_until(
                lambda wanted=partition: any(
                    self.is_granting(port, wanted) for port in self.peers
                ),
                f'partition {partition} is granted',
            )

    def is_granting(self, port, partition):
        """Return whether a node answers a probe as the holder."""
        probe = grants.encode_request(quotas.GrantRequest(partition, '', 0))
        connection = http.client.HTTPConnection('127.0.0.1', port, timeout=5)
        try:
            connection.request('POST', grants.PATH, probe)
            return not grants.decode_reply(
                connection.getresponse().read()
            ).refusal
        except OSError:
            return False
        finally:
            connection.close()

    def partitions(self, message):
        """Return the partitions of some lines of all logs."""
        return {
            line['partition']
            for node in self.nodes
            for line in self.cluster.read_log(node)
            if line['message'] == message
        }

    def send(self, node):
        """Return the status and Retry-After of one request."""
        self.requests += 1
        request_id = f'q{self.requests}'
        target = f'/one/{request_id}'
        key = {header_names.HEADERS.key: KEY}
        connection = http.client.HTTPConnection(
            self.cluster.nodes[node].http, timeout=30
        )
        try:
            status, headers, _ = plain_request.send(
                connection, request_id, target, None, DEADLINE_MS, key
            )
        finally:
            connection.close()
        return status, float(headers.get('Retry-After', 0))

    def send_until_answered(self, nodes):
        """Repeat a request at other nodes after 503, as callers do."""
        for number in range(MAX_TRIES):
            status, retry_after = self.send(nodes[number % len(nodes)])
            if status != 503:
                return status
            time.sleep(retry_after)
        self.fail('no node could tell whether the quota has room')

    def assert_served(self, count, *nodes):
        """Check that requests to nodes in turn are not over the quota."""
        for number in range(count):
            first = number % len(nodes)
            turn = nodes[first:] + nodes[:first]
            self.assertEqual(200, self.send_until_answered(turn), number)

    def test_a_customer_within_its_quota_is_not_refused(self):
        """Guards against a quota that is fixed for each node."""
        self.start(rate_per_s=10, burst=40)
        self.assert_served(25, *self.nodes[1:])

    def test_a_customer_above_its_quota_is_refused(self):
        """Guards against a quota for each node, and a refusal that ran."""
        self.start(rate_per_s=2, burst=5)
        answers = [self.send(self.nodes[n % 3]) for n in range(150)]
        self.assertLessEqual({s for s, _ in answers}, {200, 429, 503})
        refused = [after for status, after in answers if status == 429]
        self.assertGreater(min(refused), 0)
        self.assertLess(max(refused) * 1_000, DEADLINE_MS / 3)
        path = self.cluster.folder / gateway_cluster.RUN_LOG
        lines = [line.split() for line in path.read_text().splitlines()]
        times = [int(x[0]) for x in lines if x[3] == platform_state.RAN]
        served = sum(status == 200 for status, _ in answers)
        self.assertEqual(served + len(self.nodes), len(times))
        limit = (2 * WINDOW_MS / 1_000 + 5) * 1.1 + 20
        for start_ms in times:
            within = [t for t in times if 0 <= t - start_ms < WINDOW_MS]
            self.assertLessEqual(len(within), limit)

    def test_the_loss_of_a_holder_leaves_the_other_partitions(self):
        """Guards against a customer that depends on a single holder."""
        one, lost, other = ('gateway-0', 'gateway-1', 'gateway-2')
        self.start(50, 50, (one, lost, lost))
        self.cluster.signal(lost, signal.SIGKILL)
        self.assert_served(30, one, other)
        self.wait_until_granted()
        self.assertEqual({1, 2}, self.partitions('partition_taken_over'))

    def test_holders_go_on_after_the_store_has_lost_their_entries(self):
        """Guards against customers that are refused after a restore."""
        self.start(50, 50, ('gateway-0', 'gateway-1', 'gateway-2'), 1)
        self.control(drill={'away_ms': 500, 'rewrite_ms': 1_000})
        clusters.wait_until(
            lambda: all(
                'quota_era_changed store_restored'
                in self.cluster.read_decisions(node)
                for node in self.nodes
            ),
            'all gateways have seen the new era',
        )
        self.assert_served(25, *self.nodes)
        target = f'{store_calls.RANGE_PATH}?{store_calls.PREFIX}=quotas/'
        store = self.cluster.store
        clusters.wait_until(
            lambda: (
                len(json_http.call_json('GET', store, target)[1]['items'])
                == PARTITIONS
            ),
            'the holders are in the store again',
        )
        self.wait_until_granted()
        self.assertEqual(set(), self.partitions('partition_taken_over'))
