import json
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import log_lines
from gypsumbridge_standins.cluster import small_deployment


class QueryPathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        small_deployment.start_small_deployment(cls.cluster, 3)

    def query(self, node, **changes):
        body = {
            'service': 'verify-portal',
            'rank': 'border',
            'deadline_ms': 10_000,
            'query': {'certificate': 'A-1'},
            'request_id': 'mine',
            **changes,
        }
        return json_http.call_json('POST', node.http, '/v1/query', body)

    def test_every_node_answers_with_full_coverage(self):
        """Guards against a node that reaches only the shards it owns."""
        for node in self.cluster.nodes.values():
            status, answer = self.query(node)
            self.assertEqual(200, status, answer)
            self.assertEqual('mine', answer['request_id'])
            self.assertEqual('v1', answer['snapshot'])
            self.assertEqual([], answer['missing'])
            self.assertEqual(6, len(answer['covered']))
            echoes = [r['result']['echo'] for r in answer['results']]
            self.assertEqual([{'certificate': 'A-1'}] * 6, echoes)

    def test_undeclared_names_are_refused_as_not_run(self):
        """Guards against a refusal with an unknown outcome."""
        node = self.cluster.nodes['node-1']
        for field in ('service', 'rank'):
            status, answer = self.query(node, **{field: 'none'})
            self.assertEqual(404, status)
            self.assertEqual('not_run', answer['run_state'])
            self.assertEqual(f'unknown_{field}', answer['code'])

    def test_a_query_frees_its_resources(self):
        """Guards against slots and connections that are never freed, so that
        later queries exceed the searchers' limits.
        """
        for node in self.cluster.nodes.values():
            self.query(node)
        status, counts = json_http.call_json(
            'GET', self.cluster.controls[0], '/'
        )
        self.assertEqual(200, status)
        for name, searcher_counts in counts.items():
            self.assertLessEqual(searcher_counts['peak_running'], 2, name)
            self.assertEqual(0, searcher_counts['refused_connections'], name)

    def test_log_lines_are_json(self):
        """Guards against log lines that tools cannot read."""
        self.query(self.cluster.nodes['node-1'])
        log_path = self.cluster.folder / 'node-1.log'
        logged_messages = set()
        for line in log_lines.read_complete_lines(log_path):
            logged_messages.add(json.loads(line)['message'])
        self.assertIn('send_batch', logged_messages)
