import http.client
import pathlib
import threading
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

SERVICES = ('s1', 's2', 's3', 's4')
DEADLINE_MS = 20_000
# `memoryMb` of the users' hosts, at which a process is ended.
MEMORY_LIMIT_MB = 300
CALLERS = 40


def make_config():
    return operator_config.make_config(
        1,
        SERVICES,
        (
            operator_config.make_gather_route(
                '/all/', SERVICES, DEADLINE_MS, DEADLINE_MS // 2, 5, 0.75
            ),
            operator_config.make_route(
                '/one/', 's1', DEADLINE_MS, DEADLINE_MS // 2
            ),
        ),
    )


class EndlessResponsesTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        gateway_cluster.start_gateway_cluster(
            self.cluster, make_config(), SERVICES, 1
        )
        clusters.wait_until(
            lambda: self.send('/all/warm') == 200, 'parts arrive'
        )

    def set_fault(self, fault):
        faults = {f's1-{domain}': fault for domain in gateway_cluster.DOMAINS}
        json_http.call_json(
            'POST', self.cluster.controls[0], '/', {'faults': faults}
        )

    def send(self, target):
        connection = http.client.HTTPConnection(
            self.cluster.nodes['gateway-0'].http, timeout=60
        )
        try:
            status, _, _ = plain_request.send(
                connection, f'q{target}', target, None, DEADLINE_MS
            )
            return status
        finally:
            connection.close()

    def send_together(self, prefix):
        statuses = []
        threads = [
            threading.Thread(
                target=lambda n=n: statuses.append(self.send(f'{prefix}{n}'))
            )
            for n in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def read_peak_mb(self):
        pid = self.cluster.processes['gateway-0'].pid
        lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
        return next(int(x.split()[1]) for x in lines if x[:6] == 'VmHWM:') / (
            1024
        )

    def test_endless_parts_in_small_chunks_stay_within_the_memory(self):
        """Guards against parts whose pieces fill the memory (review/2)."""
        self.set_fault('endless_chunks')
        statuses = self.send_together('/all/')
        self.assertEqual([200] * CALLERS, statuses)
        self.assertLess(self.read_peak_mb(), MEMORY_LIMIT_MB)

    def test_concurrent_endless_responses_stay_within_the_memory(self):
        """Guards against bodies that together exceed the host's memory."""
        self.set_fault('endless_body')
        for status in self.send_together('/one/'):
            self.assertIn(status, (502, 503, 504))
        self.assertLess(self.read_peak_mb(), MEMORY_LIMIT_MB)
        self.set_fault('')
        clusters.wait_until(
            lambda: self.send('/one/after') == 200, 'requests are served again'
        )
