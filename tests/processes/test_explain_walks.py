import contextlib
import http.client
import io
import json
import unittest

from gypsumbridge_ctl.commands import explain
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

SERVICES = ('s1', 's2', 's3', 's4')
TIMEOUT_MS = 1_500
ROUTES = (
    operator_config.make_gather_route(
        '/all/', SERVICES, TIMEOUT_MS, 300, 5, 0.75
    ),
    operator_config.make_route(
        '/once/', 's2', TIMEOUT_MS, 300, idempotent=False
    ),
)


class ExplainWalksTest(unittest.TestCase):
    """The walk-throughs of docs/OPERATIONS.md on logs of processes."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        gateway_cluster.start_gateway_cluster(
            cls.cluster,
            operator_config.make_config(1, SERVICES, ROUTES),
            SERVICES,
            1,
        )

    def control(self, **command):
        json_http.call_json('POST', self.cluster.controls[0], '/', command)

    def send_query(self, request_id, target, body=None, node='gateway-0'):
        connection = http.client.HTTPConnection(
            self.cluster.nodes[node].http, timeout=30
        )
        self.addCleanup(connection.close)
        status, _, _ = plain_request.send(connection, request_id, target, body)
        return status

    def explain(self, request_id):
        """Return the log lines that `gypsumctl explain` prints."""
        logs = sorted(self.cluster.folder.glob('gateway-*.log'))
        output = io.StringIO()

        def read():
            output.seek(0)
            output.truncate()
            with contextlib.redirect_stdout(output):
                explain.explain(request_id, logs, json=True)
            lines = output.getvalue().splitlines()
            records = [json.loads(line) for line in lines]
            final_messages = ('request_finished', 'request_refused')
            return (
                records
                if records[-1].get('message') in final_messages
                else None
            )

        # A gateway may write its log lines after it sent the response.
        return clusters.wait_until(read, f'{request_id} is in the logs')

    def test_a_failed_gather_names_its_missing_services(self):
        """Guards against a failed gather whose log gives no cause."""
        faults = {f's{n}-{d}': 'silent' for n in (1, 2) for d in ('d1', 'd2')}
        self.control(faults=faults)
        self.addCleanup(self.control, faults=dict.fromkeys(faults, ''))
        self.assertEqual(504, self.send_query('gather', '/all/x'))
        last = self.explain('gather')[-1]
        self.assertEqual(504, last['status'])
        self.assertEqual('s1:running,s2:running', last['missing'])
        self.assertGreaterEqual(last['after_ms'], TIMEOUT_MS)

    def test_a_lost_unsafe_request_shows_that_it_was_sent(self):
        """Guards against a log in which a 502 looks like a refusal."""
        faults = {'s2-d1': 'truncate', 's2-d2': 'truncate'}
        self.control(faults=faults)
        self.addCleanup(self.control, faults=dict.fromkeys(faults, ''))
        self.assertEqual(502, self.send_query('unsafe', '/once/x', b'content'))
        failed, last = self.explain('unsafe')
        self.assertEqual('attempt_failed', failed['message'])
        self.assertEqual('lost', failed['outcome'])
        self.assertIs(False, failed['retried'])
        self.assertIn(failed['searcher'], faults)
        self.assertEqual(502, last['status'])

    def test_a_refusal_gives_its_reason(self):
        """Guards against a refusal whose log gives no reason."""
        self.control(outage=True)
        self.addCleanup(self.control, outage=False)
        store = int(self.cluster.store.rpartition(':')[2])
        name = gateway_cluster.write_settings(
            self.cluster, 1, ports.find_free_ports(3), store
        )
        gateway_cluster.spawn_gateway(self.cluster, name)

        def refused():
            try:
                return self.send_query('refused', '/all/x', node=name) == 503
            except OSError:
                return False

        clusters.wait_until(refused, 'the gateway refuses')
        (line,) = self.explain('refused')
        self.assertEqual('request_refused', line['message'])
        self.assertEqual('no_routes_yet', line['reason'])
        lost = (self.cluster.folder / f'{name}.log').read_text()
        self.assertIn('store_lost', lost)
