"""Mutations through real processes, with replies and nodes lost."""

import concurrent.futures
import http.client
import time
import unittest
import urllib.parse

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build

DOMAINS = ('fd-a', 'fd-b', 'fd-c')
NO_REPLY = (OSError, http.client.HTTPException)
KEY_LIFETIME_MS = 3_600_000


class MutationTest(unittest.TestCase):
    """Every test ends with the executed counts of all searchers."""

    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        chosen = ports.free_ports(build.count_searchers(build.SMALL_GROUPS))
        deployment = build.build(build.SMALL_GROUPS, chosen, 5.0)
        start.start_platform(self.cluster, deployment)
        start.declare(self.cluster, deployment.specs)
        start.start_nodes(self.cluster, 3, DOMAINS)
        self.nodes = list(self.cluster.nodes.values())
        self.told = []

    def mutate(self, node, key, **changes):
        body = {
            'service': 'verify-portal',
            'shard': 's001',
            'rank': 'border',
            'deadline_ms': 5_000,
            'idempotency_key': key,
            'key_expires_at_ms': int(time.time() * 1000) + KEY_LIFETIME_MS,
            'mutation': {'revoke': key},
            **changes,
        }
        status, answer = json_http.call_json(
            'POST', node.http, '/v1/mutations', body
        )
        if answer.get('run_state') == 'not_run':
            self.told.append((key, body['mutation']))
        return status, answer

    def lookup(self, node, key):
        path = '/v1/mutations/' + urllib.parse.quote(key, safe='')
        return json_http.call_json('GET', node.http, path)

    def control(self, address, **orders):
        return json_http.call_json('POST', address, '/control', orders)[1]

    def set_searchers(self, **values):
        address = self.cluster.controls[0]
        json_http.call_json('POST', address, '/', {'set': values})

    def executed(self):
        """Return executions by key over all searchers, checked."""
        address = self.cluster.controls[0]
        total = {}
        counts = json_http.call_json('GET', address, '/')[1]
        for searcher in counts.values():
            for key, count in searcher['executed'].items():
                total[key] = total.get(key, 0) + count
        self.assertEqual({}, {k: n for k, n in total.items() if n > 1})
        return total

    def test_one_key_through_three_nodes(self):
        """Guards against two nodes that both send the same key."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            both = list(
                pool.map(lambda n: self.mutate(n, 'k/1'), self.nodes[:2])
            )
        third = self.mutate(self.nodes[2], 'k/1')
        for status, answer in (*both, third):
            self.assertEqual((200, 'ran'), (status, answer['outcome']))
            self.assertEqual({'revoke': 'k/1'}, answer['result']['echo'])
        self.assertEqual('recorded', third[1]['status'])
        self.assertEqual({'k/1': 1}, self.executed())
        status, answer = self.mutate(self.nodes[0], 'k/1', mutation={})
        self.assertEqual((409, 'conflict'), (status, answer['code']))
        self.assertEqual('done', self.lookup(self.nodes[1], 'k/1')[1]['phase'])
        self.assertEqual({'k/1': 1}, self.executed())
        before = self.control(self.cluster.store)['calls']
        for number in range(20):
            self.mutate(self.nodes[number % 3], f'count-{number}')
        after = clusters.wait_until(
            lambda: self.recorded(20) and self.control(self.cluster.store),
            'all outcomes are recorded',
        )['calls']
        self.assertEqual(40, after['write'] - before['write'])

    def recorded(self, count):
        return all(
            self.lookup(self.nodes[0], f'count-{n}')[1].get('phase') == 'done'
            for n in range(count)
        )
