import http.client
import json
import signal
import time
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build
from tests.processes import load

DOMAINS = ('fd-a', 'fd-b', 'fd-c')
LAG_MS = 1_000
# Longer than every membership timeout in a fleet of three nodes.
FREEZE_S = 6.0


class NodeLossTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        self.cluster.balancer_lag_ms = LAG_MS
        searcher_ports = ports.find_free_ports(
            build.count_searchers(build.SMALL_GROUPS)
        )
        deployment = build.build(build.SMALL_GROUPS, searcher_ports, 5.0)
        start.start_platform(self.cluster, deployment)
        start.declare(self.cluster, deployment.specs)
        start.start_nodes(self.cluster, 3, DOMAINS)
        self.nodes = list(self.cluster.nodes.values())
        for node in self.nodes:
            self.wait_until_queries_succeed(node)

    def wait_until_queries_succeed(self, node):
        body = {
            'service': 'verify-portal',
            'rank': 'border',
            'deadline_ms': 5_000,
            'query': {},
        }

        def is_answered():
            try:
                status, _ = json_http.call_json(
                    'POST', node.http, '/v1/query', body
                )
            except OSError:
                return False
            return status == 200

        clusters.wait_until(is_answered, f'{node.node_id} answers queries')

    def assert_complete_answers(self, outcomes):
        """Check that every request got an answer with full coverage."""
        failed = [o for o in outcomes if o[1] != 200]
        self.assertEqual([], failed[:3], f'{len(failed)} of {len(outcomes)}')
        for _, _, answer in outcomes:
            self.assertEqual(1, answer['coverage'])
            self.assertEqual([], answer['missing'])

    def wait_for_decision(self, node_id, decision, already_logged=0):
        clusters.wait_until(
            lambda: (
                self.cluster.read_decisions(node_id).count(decision)
                > already_logged
            ),
            f'{node_id} logs {decision}',
        )

    def test_a_planned_stop_of_each_node_cuts_no_request(self):
        """Guards against a stop that loses requests: in flight at front or
        owner, sent during the balancer's lag, or on idle connections.
        """
        for node in self.nodes:
            decisions_before = self.cluster.read_decisions(node.node_id)
            with load.Load(self.nodes, 0.6 * LAG_MS / 1_000) as traffic:
                time.sleep(0.5)
                self.cluster.signal(node.node_id, signal.SIGTERM)
                self.check_answer_while_stopping(node)
                status = self.cluster.wait(node.node_id)
                start.start_node(self.cluster, node, DOMAINS)
                start.wait_ready(node)
                time.sleep(1.0)
            self.assertEqual(0, status)
            self.assert_complete_answers(traffic.outcomes)
            self.assertIn(node.node_id, {o[0] for o in traffic.outcomes})
            log = self.cluster.read_decisions(node.node_id)[
                len(decisions_before) :
            ]
            self.assertIn('node stopping, nothing in flight drained', log)
            self.wait_until_queries_succeed(node)

    def test_a_stop_waits_for_queries_longer_than_the_lag(self):
        """Guards against a node that exits at the end of the balancer's lag
        while queries of its own callers still run.
        """
        command = {'set': {'slowdown': 200.0}}
        json_http.call_json('POST', self.cluster.controls[0], '/', command)
        with load.Load(self.nodes[:1] * 3, 0.8 * LAG_MS / 1_000) as traffic:
            time.sleep(1.0)
            self.cluster.signal('node-1', signal.SIGTERM)
            status = self.cluster.wait('node-1')
        self.assertEqual(0, status)
        connection_errors = [
            o for o in traffic.outcomes if not isinstance(o[1], int)
        ]
        self.assertEqual([], connection_errors)
        self.assertIn('node-1', {o[0] for o in traffic.outcomes})

    def check_answer_while_stopping(self, node):
        """Check that a stopping node answers and closes the connection."""
        clusters.wait_until(
            lambda: not clusters.returns_ok(node.http, '/readyz'),
            f'{node.node_id} fails its readiness check',
        )
        connection = http.client.HTTPConnection(*node.http.split(':'))
        self.addCleanup(connection.close)
        body = {'service': 'verify-portal', 'rank': 'border'}
        body |= {'deadline_ms': 5_000, 'query': {}}
        connection.request('POST', '/v1/query', json.dumps(body))
        response = connection.getresponse()
        self.assertEqual(200, response.status)
        self.assertEqual('close', response.getheader('Connection'))

    def test_a_killed_node_costs_no_coverage_elsewhere(self):
        """Guards against shards that remain assigned to a lost owner."""
        others = self.nodes[:2]
        with load.Load(others, 0) as traffic:
            time.sleep(0.5)
            self.cluster.signal('node-3', signal.SIGKILL)
            self.cluster.wait('node-3')
            for node in others:
                self.wait_for_decision(node.node_id, 'member_state dead')
            time.sleep(0.5)
        self.assert_complete_answers(traffic.outcomes)

    def test_a_frozen_node_is_truthful_and_recovers(self):
        """Guards against a resumed node that serves with outdated state,
        and against one that the fleet does not readmit.
        """
        with load.Load(self.nodes, FREEZE_S, 1_000) as traffic:
            time.sleep(0.5)
            self.cluster.signal('node-3', signal.SIGSTOP)
            time.sleep(FREEZE_S)
            self.cluster.signal('node-3', signal.SIGCONT)
            self.wait_for_decision(
                'node-3', 'clear_self_suspicion acknowledged'
            )
            self.wait_for_decision('node-1', 'member_state alive')
            start.wait_ready(self.nodes[2])
            resumed_count = len(traffic.outcomes)
            time.sleep(1.0)
        self.assertIn(
            'suspect_self frozen', self.cluster.read_decisions('node-3')
        )
        self.assert_complete_answers(
            [o for o in traffic.outcomes if o[0] != 'node-3']
        )
        for _, status, body in traffic.outcomes:
            if status == 200:
                self.assertEqual(1, body['coverage'])
                continue
            # 504 is a query that was running and missed its deadline.
            self.assertIn(status, (503, 504), body)
            self.assertEqual('refused', body['status'])
            state = 'not_run' if status == 503 else 'outcome_unknown'
            self.assertEqual(state, body['run_state'], body)
        after_resume = [
            o for o in traffic.outcomes[resumed_count:] if o[0] == 'node-3'
        ]
        self.assertTrue(after_resume)
        self.assert_complete_answers(after_resume[2:])
