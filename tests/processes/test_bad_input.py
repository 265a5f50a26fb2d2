import http.client
import json
import socket
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import log_lines
from gypsumbridge_standins.cluster import small_deployment

VALID_QUERY = {
    'service': 'verify-portal',
    'rank': 'border',
    'deadline_ms': 20_000,
    'query': 1,
}
DAY_MS = 86_400_000
BYTES_PER_MIB = 1024 * 1024


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        small_deployment.start_small_deployment(cls.cluster, 1)
        cls.http = cls.cluster.nodes['node-1'].http

    def tearDown(self):
        clusters.wait_until(self.is_idle, 'no request is held', 20)
        path = self.cluster.folder / 'node-1.log'
        for line in filter(None, log_lines.read_complete_lines(path)):
            self.assertIn('message', json.loads(line))

    def is_idle(self):
        """Return whether the node holds the status request alone."""
        _, status = json_http.call_json('GET', self.http, '/v1/nodes')
        open_requests = sum(
            sum(counts.values()) for counts in status['tasks'].values()
        )
        _, seen = json_http.call_json('GET', self.cluster.controls[0], '/')
        searcher_requests = sum(
            s['running'] + s['waiting'] for s in seen.values()
        )
        return (
            open_requests,
            status['gauges']['http.connections'],
            searcher_requests,
        ) == (1, 1, 0)

    def connect(self):
        host, port = self.http.split(':')
        connection = socket.create_connection((host, int(port)), 30)
        self.addCleanup(connection.close)
        return connection

    def send(self, body, method='POST', path='/v1/query', **options):
        host, port = self.http.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        connection.request(method, path, body, **options)
        response = connection.getresponse()
        answer = json.loads(response.read())
        connection.close()
        return response.status, answer

    def assert_refused(self, expected, *arguments, **options):
        status, answer = self.send(*arguments, **options)
        self.assertEqual(expected, status, answer)
        self.assertEqual('not_run', answer['run_state'])
        self.assertTrue(answer['code'] and answer['remedy'], answer)
        return answer

    def count_searches(self):
        _, counts = json_http.call_json('GET', self.cluster.controls[0], '/')
        return sum(s['received'] for s in counts.values())

    def encode_request(self, **changes):
        """Return a valid query request as bytes."""
        body = self.encode_query(**changes).encode()
        head = b'POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: %d'
        return head % len(body) + b'\r\n\r\n' + body

    def encode_query(self, **changes):
        return json.dumps({**VALID_QUERY, **changes})

    def test_malformed_query_bodies(self):
        """Guards against a stack trace, or a slot used by a bad query."""
        deep = b'[' * 100_000 + b']' * 100_000
        valid_body = self.encode_query(query='X').encode()
        bodies = [b'', b'{', b'[]', b'null', valid_body[:-1], deep]
        bodies += [
            valid_body.replace(b'"X"', deep),
            valid_body.replace(b'X', b'\xff'),
        ]
        bodies += [valid_body.replace(b'X', b'\\ud800'), b'\x00' * 1000]
        for body in bodies:
            self.assert_refused(400, body)

    def test_bodies_over_the_limit(self):
        """Guards against callers that exhaust the node's memory."""
        self.assert_refused(413, b'x' * (10 * BYTES_PER_MIB))
        self.assert_refused(
            413, iter([b'x' * BYTES_PER_MIB] * 10), encode_chunked=True
        )

    def test_values_out_of_range(self):
        """Guards against queries without an effective deadline."""
        for deadline_ms in (0, -1, DAY_MS, 1.5, 'soon', None):
            self.assert_refused(
                400, self.encode_query(deadline_ms=deadline_ms)
            )
        for field in ('service', 'rank'):
            self.assert_refused(404, self.encode_query(**{field: 'none'}))
            self.assert_refused(
                400, self.encode_query(**{field: 'n' * 100_000})
            )
        self.assertEqual(200, self.send(self.encode_query())[0])

    def test_methods_and_paths(self):
        """Guards against HTML error pages in place of JSON."""
        for method, path in (
            ('GET', '/v1/query'),
            ('DELETE', '/v1/query'),
            ('POST', '/v1/nodes'),
            ('PATCH', '/v1/resources/ranks/border'),
            ('POST', '/v1/resources'),
        ):
            self.assert_refused(405, None, method, path)
        for path in ('/', '/v1', '/v1/none', '/v1/resources/x', '/%ff'):
            self.assert_refused(404, None, 'GET', path)

    def test_malformed_request_heads(self):
        """Guards against a connection that is closed without an error
        response, and against running the request after a refused head.
        """
        searches = self.count_searches()
        for head in (
            b'GET / HTTP/1.1\r\nX: ' + b'x' * 65_536 + b'\r\n\r\n',
            b'GET / HTTP/1.1\r\n' + b'X: y\r\n' * 5_000 + b'\r\n',
            b'nonsense\r\n\r\n',
            b'GET / HTTP/1.1\r\nX\r\n\r\n' + self.encode_request(),
            b'POST /v1/query HTTP/1.1\r\nContent-Length: x\r\n\r\n',
        ):
            connection = self.connect()
            connection.sendall(head)
            with connection, connection.makefile('rb') as stream:
                received = stream.read()
            self.assertEqual(1, received.count(b'HTTP/1.1 '))
            status, _, body = received.partition(b'\r\n\r\n')
            self.assertIn(b'400', status, head[:50])
            self.assertTrue(json.loads(body)['remedy'])
        clusters.wait_until(self.is_idle, 'no request is held', 20)
        self.assertEqual(searches, self.count_searches())

    def test_truncated_requests(self):
        """Guards against requests that are held after the caller left."""
        request = self.encode_request()
        for length in (10, request.index(b'{'), len(request) - 10):
            connection = self.connect()
            connection.sendall(request[:length])
            connection.close()

    def test_a_caller_that_disconnects(self):
        """Guards against slots in use for a caller that disconnected."""
        control = self.cluster.controls[0]
        slow = {'set': {'slowdown': 20_000.0}}
        json_http.call_json('POST', control, '/', slow)
        connection = self.connect()
        # Deadline and service time exceed the 20 s that the check waits, so
        # that only a cancellation frees the slots in time.
        connection.sendall(self.encode_request(deadline_ms=60_000))

        def running():
            counts = json_http.call_json('GET', control, '/')[1]
            return sum(s['running'] for s in counts.values())

        clusters.wait_until(running, 'the query runs', 20)
        connection.close()
        json_http.call_json('POST', control, '/', {'set': {'slowdown': 1.0}})

    def test_an_operator_that_disconnects(self):
        """Guards against watches of an operator that disconnected."""
        connection = self.connect()
        path = b'/v1/resources?watch_from=999999999&wait_ms=30000'
        connection.sendall(b'GET %s HTTP/1.1\r\nHost: x\r\n\r\n' % path)

        def watching():
            status = json_http.call_json('GET', self.http, '/v1/nodes')[1]
            return status['tasks']['operator_http']['watches']

        clusters.wait_until(watching, 'the watch waits', 20)
        connection.close()

    def test_hostile_text_in_names(self):
        """Guards against log lines that a caller can forge or break."""
        text = 'x\r\n{"level":"error"}\u2028\x00\x1b[2J"\\'
        self.assert_refused(404, self.encode_query(service=text))
        self.assert_refused(404, self.encode_query(rank=text, caller=text))
        status, _ = self.send(self.encode_query(caller=text, request_id=text))
        self.assertEqual(200, status)
        self.assert_refused(400, None, 'GET', '/v1/resources/ranks/%0d%0a%7b')
