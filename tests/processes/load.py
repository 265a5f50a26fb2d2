"""Sends queries from one thread per node and records every outcome."""

import http.client
import json
import threading
import time

from gypsumbridge_standins.cluster import cluster as clusters

SEND_INTERVAL_S = 0.02


class Load:
    """Sends queries over one keep-alive connection to each node.

    Fewer queries run at once than a replica set has slots, so that calls
    do not queue and admission control refuses none on a busy machine.
    Like a load balancer, it sends to a node until `lag_s` after the node's
    readiness check failed. `outcomes` holds (node id, status or the name
    of an error, body).
    """

    def __init__(
        self, nodes, lag_s, deadline_ms=5_000, interval_s=SEND_INTERVAL_S
    ):
        self.nodes = nodes
        self.lag_s = lag_s
        self.deadline_ms = deadline_ms
        self.interval_s = interval_s
        self.outcomes = []
        self.stopped = threading.Event()
        self.unready_since_s = {}
        self.threads = [
            threading.Thread(target=self.send_queries, args=(node,))
            for node in nodes
        ]
        self.threads += [
            threading.Thread(target=self.poll_readiness, args=(node,))
            for node in nodes
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def poll_readiness(self, node):
        while not self.stopped.is_set():
            if clusters.returns_ok(node.http, '/readyz'):
                self.unready_since_s.pop(node.node_id, None)
            else:
                self.unready_since_s.setdefault(node.node_id, time.monotonic())
            self.stopped.wait(SEND_INTERVAL_S)

    def may_send(self, node):
        since_s = self.unready_since_s.get(node.node_id)
        return since_s is None or time.monotonic() - since_s < self.lag_s

    def send_queries(self, node):
        host, port = node.http.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=60)
        while not self.stopped.wait(self.interval_s):
            if not self.may_send(node):
                connection.close()
                continue
            self.outcomes.append((node.node_id, *self.send_query(connection)))
        connection.close()

    def send_query(self, connection):
        body = {
            'service': 'verify-portal',
            'rank': 'archive',
            'deadline_ms': self.deadline_ms,
            'query': {'certificate': 'A-1'},
        }
        try:
            connection.request('POST', '/v1/query', json.dumps(body))
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return type(error).__name__, {}
