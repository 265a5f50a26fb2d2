import http.client
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

SERVICES = ('s1',)
# Nearer to the gateway than the other searcher, so it is used first.
NEAR = 's1-d1'
DEADLINE_MS = 20_000
REQUESTS = 20


class SearcherStatementsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        route = operator_config.make_route(
            '/one/', 's1', DEADLINE_MS, DEADLINE_MS
        )
        gateway_cluster.start_gateway_cluster(
            self.cluster,
            operator_config.make_config(1, SERVICES, (route,)),
            SERVICES,
            1,
        )
        self.requests = 0
        clusters.wait_until(
            lambda: self.searcher_of(self.send()) == NEAR, 'searchers answer'
        )

    def control(self, **command):
        _, report = json_http.call_json(
            'POST', self.cluster.controls[0], '/', command
        )
        return report

    def send(self):
        """Send a request and return its id."""
        self.requests += 1
        request_id = f'q{self.requests}'
        connection = http.client.HTTPConnection(
            self.cluster.nodes['gateway-0'].http, timeout=30
        )
        try:
            status, _, _ = plain_request.send(
                connection, request_id, '/one/x', None, DEADLINE_MS
            )
        finally:
            connection.close()
        self.assertEqual(200, status)
        return request_id

    def searcher_of(self, request_id):
        """Return the searcher that has run a request."""
        _, report = json_http.call_json('GET', self.cluster.controls[0], '/')
        return report['runs'][request_id][-1]

    def test_a_searcher_that_says_it_leaves_gets_no_more_requests(self):
        """Guards against requests that a searcher drops when it exits."""
        self.control(faults={NEAR: 'leaving'})
        self.assertEqual(NEAR, self.searcher_of(self.send()))
        found = {self.searcher_of(self.send()) for _ in range(REQUESTS)}
        self.assertEqual({'s1-d2'}, found)

    def test_a_searcher_that_refuses_is_used_again_after_its_time(self):
        """Guards against a searcher that is lost after one refusal."""
        self.control(faults={NEAR: 'busy'})
        self.assertEqual('s1-d2', self.searcher_of(self.send()))
        self.control(faults={NEAR: ''})
        clusters.wait_until(
            lambda: self.searcher_of(self.send()) == NEAR,
            'the searcher is used again',
        )
