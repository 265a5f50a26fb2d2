"""Mutations through nodes as processes, with lost replies and nodes."""

import concurrent.futures
import http.client
import random
import signal
import threading
import time
import unittest
import urllib.parse

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import small_deployment
from gypsumbridge_standins.cluster import start

DOMAINS = ('fd-a', 'fd-b', 'fd-c')
CONNECTION_ERRORS = (OSError, http.client.HTTPException)
KEY_LIFETIME_MS = 3_600_000


class MutationTest(unittest.TestCase):
    """Every test checks how often each searcher ran a mutation."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        small_deployment.start_small_deployment(cls.cluster, 3)
        cls.nodes = list(cls.cluster.nodes.values())

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
            # A key that can be refused is in use by one request at a time.
            self.assertNotIn(key, self.read_execution_counts())
        return status, answer

    def lookup(self, node, key):
        path = '/v1/mutations/' + urllib.parse.quote(key, safe='')
        return json_http.call_json('GET', node.http, path)

    def control(self, address, **command):
        return json_http.call_json('POST', address, '/control', command)[1]

    def set_searchers(self, **values):
        address = self.cluster.controls[0]
        json_http.call_json('POST', address, '/', {'set': values})

    def read_execution_counts(self):
        """Return executions by key, after a check that none exceeds one."""
        address = self.cluster.controls[0]
        total = {}
        counts = json_http.call_json('GET', address, '/')[1]
        for searcher in counts.values():
            for key, count in searcher['executed'].items():
                total[key] = total.get(key, 0) + count
        self.assertEqual({}, {k: n for k, n in total.items() if n > 1})
        return total

    def test_one_key_through_three_nodes(self):
        """Guards against two nodes that both run the same key."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            both = list(
                pool.map(lambda n: self.mutate(n, 'k/1'), self.nodes[:2])
            )
        third = self.mutate(self.nodes[2], 'k/1')
        for status, answer in (*both, third):
            self.assertEqual((200, 'ran'), (status, answer['outcome']))
            self.assertEqual({'revoke': 'k/1'}, answer['result']['echo'])
        self.assertEqual('recorded', third[1]['status'])
        self.assertEqual(1, self.read_execution_counts()['k/1'])
        status, answer = self.mutate(self.nodes[0], 'k/1', mutation={})
        self.assertEqual((409, 'conflict'), (status, answer['code']))
        self.assertEqual('done', self.lookup(self.nodes[1], 'k/1')[1]['phase'])
        self.assertEqual(1, self.read_execution_counts()['k/1'])
        counts_before = self.control(self.cluster.store)['calls']
        for number in range(20):
            self.mutate(self.nodes[number % 3], f'count-{number}')
        counts_after = clusters.wait_until(
            lambda: self.are_recorded(20) and self.control(self.cluster.store),
            'all outcomes are recorded',
        )['calls']
        self.assertEqual(40, counts_after['write'] - counts_before['write'])

    def are_recorded(self, count):
        return all(
            self.lookup(self.nodes[0], f'count-{n}')[1].get('phase') == 'done'
            for n in range(count)
        )

    def test_lost_claim_reply(self):
        """Guards against a second claim after one whose reply was lost."""
        self.control(self.cluster.store, lose_replies=1)
        status, answer = self.mutate(self.nodes[0], 'lost-claim')
        self.assertEqual((200, 'ran'), (status, answer['outcome']))
        self.assertEqual(1, self.read_execution_counts()['lost-claim'])

    def test_lost_endpoint_reply(self):
        """Guards against a repeat of a mutation with unknown outcome."""
        key = 'lost-reply'
        self.set_searchers(lose_replies=1)
        self.addCleanup(self.set_searchers, lose_replies=0)
        for node in self.nodes:
            answer = self.mutate(node, key, deadline_ms=500)[1]
            self.assertEqual('outcome_unknown', answer['run_state'])
            self.assertEqual(key, answer['idempotency_key'])
        body = {'outcome': 'ran', 'operator': 'test'}

        def resolve():
            path = f'/v1/mutations/{key}/resolve'
            address = self.nodes[1].http
            return json_http.call_json('POST', address, path, body)[0] == 200

        clusters.wait_until(resolve, 'the claim is resolved')
        answer = self.mutate(self.nodes[2], key)[1]
        self.assertEqual('recorded', answer['status'])
        self.assertEqual('test', answer['operator'])
        self.assertEqual(1, self.read_execution_counts()[key])

    def test_claimant_stopped_beyond_the_deadline(self):
        """Guards against a resumed claimant that sends past its deadline."""
        key = 'stopped'
        writes = self.control(self.cluster.store)['calls']['write']
        self.control(self.cluster.store, slow_ms=300)
        self.addCleanup(self.control, self.cluster.store, slow_ms=0)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            first = pool.submit(
                self.mutate, self.nodes[0], key, deadline_ms=1_000
            )
            clusters.wait_until(
                lambda: (
                    self.control(self.cluster.store)['calls']['write'] > writes
                ),
                'the claim is written',
            )
            self.cluster.signal('node-1', signal.SIGSTOP)
            try:
                # This deadline is later than that of the first request.
                answer = self.mutate(self.nodes[1], key, deadline_ms=1_500)[1]
            finally:
                self.cluster.signal('node-1', signal.SIGCONT)
            self.assertEqual('outcome_unknown', answer['run_state'])
            self.assertNotEqual(200, first.result()[0])
        clusters.wait_until(
            lambda: self.lookup(self.nodes[2], key)[1]['phase'] == 'released',
            'the claim is released',
        )
        self.assertNotIn(key, self.read_execution_counts())
        self.control(self.cluster.store, slow_ms=0)
        self.assertEqual('ran', self.mutate(self.nodes[1], key)[1]['outcome'])
        self.assertEqual(1, self.read_execution_counts()[key])

    def test_store_out(self):
        """Guards against mutations that are sent without a claim, and
        against queries that fail during a store outage.
        """
        self.control(self.cluster.store, outage=True)
        self.addCleanup(self.control, self.cluster.store, outage=False)
        for number, node in enumerate(self.nodes):
            for first, run_state in (
                (True, 'not_run'),
                (False, 'outcome_unknown'),
            ):
                key = f'out-{number}-{first}'
                answer = self.mutate(node, key, first_attempt=first)[1]
                self.assertEqual(run_state, answer['run_state'])
                self.assertEqual('store_unavailable', answer['code'])
            query = {
                'service': 'verify-portal',
                'rank': 'border',
                'deadline_ms': 5_000,
                'query': {},
            }
            status, answer = json_http.call_json(
                'POST', node.http, '/v1/query', query
            )
            self.assertEqual((200, 1.0), (status, answer['coverage']))
        self.assertFalse(
            [k for k in self.read_execution_counts() if k.startswith('out')]
        )

    def test_claimants_killed_at_random(self):
        """Guards against a second run of what a killed node had sent."""
        finished = threading.Event()
        last_answers = {}

        def send_mutations(worker):
            number = 0
            while not finished.is_set():
                key = f'kill-{worker}-{number}'
                number += 1
                for attempt in range(3):
                    node = self.nodes[(worker + attempt) % 3]
                    try:
                        answer = self.mutate(node, key, deadline_ms=400)[1]
                    except CONNECTION_ERRORS:
                        last_answers[key] = 'no reply'
                        continue
                    last_answers[key] = answer.get('run_state', 'ran')
                    if last_answers[key] == 'ran':
                        break

        random_source = random.Random(11)
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            workers = [pool.submit(send_mutations, n) for n in range(6)]
            try:
                for _ in range(6):
                    answered = len(last_answers) + random_source.randrange(
                        10, 30
                    )
                    clusters.wait_until(
                        lambda n=answered: len(last_answers) >= n,
                        'keys are used',
                    )
                    node = random_source.choice(self.nodes)
                    self.cluster.signal(node.node_id, signal.SIGKILL)
                    self.cluster.wait(node.node_id)
                    start.start_node(self.cluster, node, DOMAINS)
                    start.wait_ready(node)
            finally:
                finished.set()
            for worker in workers:
                worker.result()
        executed = self.read_execution_counts()
        run_states = list(last_answers.values())
        self.assertIn('ran', run_states)
        for key, answer in last_answers.items():
            if answer == 'ran':
                self.assertEqual(1, executed.get(key), key)
            if answer == 'not_run':
                self.assertNotIn(key, executed)
