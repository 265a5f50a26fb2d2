import json
import subprocess
import sys
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import declaration_files
from gypsumbridge_standins.deployment import deployment

PORTS = range(9_000, 9_100)


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        start.start_platform(self.cluster, deployment.Deployment((), ()))
        start.start_nodes(self.cluster, 2, ('fd-a', 'fd-b', 'fd-c'))
        self.directory = self.cluster.folder / 'declared'
        deployment_specs = build.build(build.SMALL_GROUPS, PORTS, 5.0)
        self.specs = declaration_files.with_limits(deployment_specs.specs)
        declaration_files.write_files(self.directory, self.specs)

    def ctl(self, *arguments, nodes=2):
        """Run gypsumctl and return its exit status and JSON lines."""
        servers = [node.http for node in self.cluster.nodes.values()][:nodes]
        process = subprocess.run(
            [sys.executable, '-m', 'gypsumbridge_ctl', *arguments]
            + ['--json', '--server', *servers],
            capture_output=True,
            timeout=120,
            check=False,
        )
        lines = process.stdout.splitlines()
        return process.returncode, [json.loads(line) for line in lines]

    def control(self, **command):
        json_http.call_json('POST', self.cluster.store, '/control', command)

    def test_apply_and_change_and_delete(self):
        """Guards against an apply that is partial or not repeatable."""
        directory = str(self.directory)
        status, planned = self.ctl('apply', directory, '--dry-run')
        self.assertEqual((0, len(self.specs)), (status, len(planned)))
        status, lines = self.ctl('apply', directory, '--wait')
        self.assertEqual((0, {'in_force': True}), (status, lines[-1]))
        status, lines = self.ctl('apply', directory)
        expected = [{'changed': 0, 'unchanged': len(self.specs)}]
        self.assertEqual((0, expected), (status, lines))
        name = 'verify-portal-set-00-a'
        status, lines = self.ctl('drain', name)
        self.assertEqual((0, 2), (status, lines[0]['generation']))
        self.assertTrue(lines[0]['spec']['leaving'])
        status, planned = self.ctl('apply', directory, '--dry-run')
        self.assertEqual({'leaving'}, set(planned[0]['fields']))
        self.assertEqual(0, self.ctl('drain', name, '--undo')[0])
        self.assertEqual(2, self.ctl('delete', 'ranks', 'archive')[0])
        stale = self.ctl('delete', 'endpoints', name, '--revision', '1')
        self.assertEqual(3, stale[0])
        self.assertEqual(0, self.ctl('delete', 'endpoints', name)[0])
        self.assertEqual(1, self.ctl('get', 'endpoints', name)[0])
        self.assertEqual(0, self.ctl('status')[0])

    def test_a_lost_reply_and_an_outage(self):
        """Guards against a lost write, or one that is applied twice."""
        self.control(lose_replies=3)
        # With one server the command cannot query another for the outcome.
        status, lines = self.ctl('apply', str(self.directory), nodes=1)
        self.assertEqual(0, status, lines)
        self.assertEqual({1}, {line.get('generation', 1) for line in lines})
        self.control(outage=True)
        self.assertEqual(4, self.ctl('list', 'ranks')[0])
        self.control(outage=False)
        status, lines = self.ctl('watch', '--polls', '1')
        self.assertEqual((0, len(self.specs)), (status, len(lines)))
