import http.client
import json
import signal
import time
import unittest

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

SERVICES = ('s1',)
DEADLINE_MS = 5_000
WINDOW_MS = 5_000
PARTITIONS = 5
KEY = 'key-of-ann'
SETTINGS = """\
[quota]
window_s = 5
overshoot = 0.1
slack = 20
holder_ttl_s = 10
first_start = {first_start}
"""
# Attempts of a caller that is told to use another node.
MAX_TRIES = 100


class QuotasTest(unittest.TestCase):
    def start(
        self, rate_per_s, burst, nodes, holders=(), apart=False, era=None
    ):
        """Start gateways; `holders` are written before, for each partition.

        With `apart` they have no address for other gateways.
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
        values = {
            f'quotas/{number}': json.dumps({'node_id': holder, 'claim': 2})
            for number, holder in enumerate(holders)
        }
        clusters.wait_until(
            lambda: self.control(copy=True), 'the platform answers'
        )
        self.control(raw=values)
        settings = SETTINGS.format(first_start=str(not holders).lower())
        count = gateway_cluster.GATEWAY_PORTS
        if not apart:
            count += gateway_cluster.PEER_PORTS
        for number in range(nodes):
            gateway_cluster.start_gateway(
                self.cluster,
                number,
                ports.find_free_ports(count),
                more_settings=settings,
            )
        clusters.wait_until(
            lambda: self.count_held() >= PARTITIONS, 'partitions are held'
        )
        for name in self.cluster.nodes:
            self.send_until_answered((name,))

    def control(self, **command):
        """Return whether the platform has carried out a command."""
        try:
            status, _ = json_http.call_json(
                'POST', self.cluster.controls[0], '/', command
            )
        except OSError:
            return False
        return status == 200

    def count_stored(self):
        target = f'{store_calls.RANGE_PATH}?{store_calls.PREFIX}=quotas/'
        _, page = json_http.call_json('GET', self.cluster.store, target)
        return len(page['items'])

    def decisions(self, wanted):
        return [
            line
            for name in self.cluster.nodes
            for line in self.cluster.read_log(name)
            if line['message'] == wanted
        ]

    def count_held(self):
        return len({d['partition'] for d in self.decisions('partition_held')})

    def send(self, node):
        """Return the status and Retry-After of one request."""
        self.requests += 1
        request_id = f'q{self.requests}'
        connection = http.client.HTTPConnection(
            self.cluster.nodes[node].http, timeout=30
        )
        try:
            status, headers, _ = plain_request.send(
                connection,
                request_id,
                f'/one/{request_id}',
                None,
                DEADLINE_MS,
                {header_names.HEADERS.key: KEY},
            )
        finally:
            connection.close()
        return status, headers.get('Retry-After')

    def send_until_answered(self, nodes):
        """Repeat a request at other nodes after 503, as callers do."""
        for number in range(MAX_TRIES):
            status, retry_after = self.send(nodes[number % len(nodes)])
            if status != 503:
                return status
            time.sleep(float(retry_after))
        self.fail('no node could tell whether the quota has room')

    def run_times(self):
        """Return when searchers ran requests, in ms."""
        path = self.cluster.folder / gateway_cluster.RUN_LOG
        lines = [line.split() for line in path.read_text().splitlines()]
        return sorted(
            int(line[0]) for line in lines if line[3] == platform_state.RAN
        )

    def test_a_customer_within_its_quota_is_not_refused(self):
        """Guards against a quota that is fixed for each node.

        The burst of 40 is sent through two of three nodes.
        """
        self.start(rate_per_s=10, burst=40, nodes=3)
        nodes = ('gateway-1', 'gateway-2')
        statuses = [
            self.send_until_answered((nodes[n % 2], nodes[(n + 1) % 2]))
            for n in range(25)
        ]
        self.assertEqual([200] * 25, statuses)

    def test_a_customer_above_its_quota_is_refused(self):
        """Guards against a quota for each node, and a refusal that ran."""
        self.start(rate_per_s=2, burst=5, nodes=3)
        nodes = tuple(self.cluster.nodes)
        refused = []
        served = len(nodes)
        for number in range(150):
            status, retry_after = self.send(nodes[number % len(nodes)])
            self.assertIn(status, (200, 429, 503))
            served += status == 200
            if status == 429:
                refused.append(float(retry_after))
        self.assertGreater(len(refused), 0)
        self.assertGreater(min(refused), 0)
        self.assertLess(max(refused) * 1_000, DEADLINE_MS / 3)
        times = self.run_times()
        self.assertEqual(served, len(times))
        limit = (2 * WINDOW_MS / 1_000 + 5) * 1.1 + 20
        for start_ms in times:
            within = [t for t in times if 0 <= t - start_ms < WINDOW_MS]
            self.assertLessEqual(len(within), limit)

    def test_a_single_gateway_holds_all_partitions(self):
        """Guards against customers without service at a single gateway."""
        self.start(rate_per_s=2, burst=5, nodes=1, apart=True)
        statuses = [self.send('gateway-0')[0] for _ in range(60)]
        self.assertEqual({200, 429}, set(statuses))

    def test_the_loss_of_a_holder_leaves_the_other_partitions(self):
        """Guards against a customer that depends on a single holder."""
        holders = ('gateway-0', 'gateway-1', 'gateway-0', 'gateway-2')
        self.start(50, 50, 3, (*holders, 'gateway-1'))
        self.cluster.signal('gateway-1', signal.SIGKILL)
        nodes = ('gateway-0', 'gateway-2')
        statuses = [self.send_until_answered(nodes) for _ in range(30)]
        self.assertEqual([200] * 30, statuses)
        clusters.wait_until(
            lambda: (
                {1, 4}
                == {
                    d['partition']
                    for d in self.decisions('partition_held')
                    if d['reason'] == 'waited'
                }
            ),
            'the partitions of the lost holder are held again',
        )
        self.assertEqual(
            {1, 4},
            {d['partition'] for d in self.decisions('partition_taken_over')},
        )

    def test_holders_go_on_after_the_store_has_lost_their_entries(self):
        """Guards against customers that are refused after a restore.

        The copy is from before the first holder.
        """
        holders = ('gateway-0', 'gateway-1') * 3
        self.start(50, 50, 2, holders[:PARTITIONS], era=1)
        self.control(drill={'away_ms': 500, 'rewrite_ms': 1_000})
        clusters.wait_until(
            lambda: len(self.decisions('quota_era_changed')) == 2,
            'both gateways have seen the new era',
        )
        nodes = tuple(self.cluster.nodes)
        statuses = [self.send_until_answered(nodes) for _ in range(25)]
        self.assertEqual([200] * 25, statuses)
        self.assertEqual([], self.decisions('partition_lost'))
        self.assertEqual([], self.decisions('partition_taken_over'))
        clusters.wait_until(
            lambda: self.count_stored() == PARTITIONS,
            'the holders are in the store again',
        )
