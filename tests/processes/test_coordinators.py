import http.client
import signal
import unittest

from gypsumbridge_platform import header_names
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request
from gypsumbridge_standins.users_platform import searcher_site

NAMES = header_names.HEADERS
SERVICES = ('s1', 's2', 's3')
STATUS_BAD_GATEWAY = 502
TOP_K = 5
DEADLINE_MS = 20_000
# Short enough that a coordinator which does not react is replaced soon.
TARGET_LATENCY_MS = 1_000
# One large gateway in each failure domain, and two small ones.
LARGE = 2
NODES = 4
SMALL_NODE = 'gateway-2'


class CoordinatorsCase(unittest.TestCase):
    services = SERVICES
    node = SMALL_NODE

    def start(self, nodes, **layout):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        route = operator_config.make_gather_route(
            '/all/', self.services, DEADLINE_MS, TARGET_LATENCY_MS, TOP_K, 1.0
        )
        gateway_cluster.start_gateway_cluster(
            self.cluster,
            operator_config.make_config(1, self.services, (route,)),
            self.services,
            nodes,
            relayed=True,
            **layout,
        )
        self.requests = 0

    def send_gather(self):
        """Send a gather to a gateway and check its answer."""
        self.requests += 1
        request_id = f'q{self.requests}'
        target = f'/all/{request_id}'
        connection = http.client.HTTPConnection(
            self.cluster.nodes[self.node].http, timeout=30
        )
        try:
            status, headers, body = plain_request.send(
                connection, request_id, target, None, DEADLINE_MS
            )
        finally:
            connection.close()
        if status == STATUS_BAD_GATEWAY:
            # Its coordinator was lost.
            return request_id
        self.assertEqual(200, status)
        signatures = headers[NAMES.part_signatures].split(', ')
        self.assertEqual(
            {request_id}, {s.partition('.')[2] for s in signatures}
        )
        parts = [searcher_site.records_of(s, target) for s in self.services]
        records = [p[n : n + 16] for p in parts for n in range(0, len(p), 16)]
        records.sort(reverse=True)
        self.assertEqual(b''.join(records[:TOP_K]), body)
        return request_id

    def gathered_by(self, request_id):
        """Return the number of parts that each gateway has gathered."""
        return {
            node: record['parts']
            for node in self.cluster.nodes
            for record in self.cluster.read_log(node)
            if record['message'] == 'request_finished'
            and record.get('request_id') == request_id
        }

    def wait_until_gathered_by(self, **parts):
        """Wait for a request of which each gateway gathers so many parts."""
        expected = {k.replace('_', '-'): v for k, v in parts.items()}
        clusters.wait_until(
            lambda: self.gathered_by(self.send_gather()) == expected,
            f'{expected} gather',
        )


class CoordinatorsTest(CoordinatorsCase):
    def setUp(self):
        self.start(NODES, large=LARGE)
        self.wait_until_gathered_by(gateway_0=3)

    def test_gathers_survive_the_loss_of_their_coordinators(self):
        """Guards against an outage while a large gateway is lost."""
        self.cluster.signal('gateway-0', signal.SIGKILL)
        self.cluster.wait('gateway-0')
        self.wait_until_gathered_by(gateway_1=3)
        self.cluster.signal('gateway-1', signal.SIGSTOP)
        self.addCleanup(self.cluster.signal, 'gateway-1', signal.SIGCONT)
        self.wait_until_gathered_by(gateway_2=3)

    def test_a_coordinator_that_stops_finishes_its_gathers(self):
        """Guards against gathers that are cut by planned work."""
        self.cluster.signal('gateway-0', signal.SIGTERM)
        self.wait_until_gathered_by(gateway_1=3)
        self.assertEqual(0, self.cluster.wait('gateway-0'))


class GroupsTest(CoordinatorsCase):
    services = ('s1', 's2', 's3', 's4', 's5', 's6')
    node = 'gateway-0'

    def test_remote_parts_are_gathered_near_their_searchers(self):
        """Guards against a group that is lost with its coordinator."""
        single = dict.fromkeys(('s1', 's2', 's3'), 'd1')
        single |= dict.fromkeys(('s4', 's5', 's6'), 'd2')
        self.start(2, single_services=single)
        self.wait_until_gathered_by(gateway_0=6, gateway_1=3)
        self.cluster.signal('gateway-1', signal.SIGSTOP)
        self.addCleanup(self.cluster.signal, 'gateway-1', signal.SIGCONT)
        self.wait_until_gathered_by(gateway_0=6)
