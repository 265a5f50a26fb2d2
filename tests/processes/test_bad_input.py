import http.client
import json
import socket
import unittest

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import small

GOOD = {
    'service': 'verify-portal',
    'rank': 'border',
    'deadline_ms': 20_000,
    'query': 1,
}
DAY_MS = 86_400_000
MIB = 1024 * 1024


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        small.start_small(cls.cluster, 1)
        cls.http = cls.cluster.nodes['node-1'].http

    def tearDown(self):
        clusters.wait_until(self.nothing_left, 'nothing is left behind', 20)
        lines = (self.cluster.folder / 'node-1.log').read_text().split('\n')
        for line in filter(None, lines):
            self.assertIn('message', json.loads(line))

    def nothing_left(self):
        """Say whether node and searchers hold only this very request."""
        _, status = json_http.call_json('GET', self.http, '/v1/nodes')
        held = sum(sum(counts.values()) for counts in status['tasks'].values())
        _, seen = json_http.call_json('GET', self.cluster.controls[0], '/')
        busy = sum(s['running'] + s['waiting'] for s in seen.values())
        return (held, status['gauges']['http.connections'], busy) == (1, 1, 0)

    def connect(self):
        host, port = self.http.split(':')
        made = socket.create_connection((host, int(port)), 30)
        self.addCleanup(made.close)
        return made

    def send(self, body, method='POST', path='/v1/query', **options):
        host, port = self.http.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        connection.request(method, path, body, **options)
        response = connection.getresponse()
        answer = json.loads(response.read())
        connection.close()
        return response.status, answer

    def refused(self, expected, *arguments, **options):
        status, answer = self.send(*arguments, **options)
        self.assertEqual(expected, status, answer)
        self.assertEqual('not_run', answer['run_state'])
        self.assertTrue(answer['code'] and answer['remedy'], answer)
        return answer

    def searches(self):
        _, seen = json_http.call_json('GET', self.cluster.controls[0], '/')
        return sum(s['received'] for s in seen.values())

    def whole(self, **changes):
        """Return a good request as bytes."""
        body = self.query(**changes).encode()
        head = b'POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: %d'
        return head % len(body) + b'\r\n\r\n' + body

    def query(self, **changes):
        return json.dumps({**GOOD, **changes})

    def test_bodies_that_are_no_query(self):
        """Guards against a stack trace, or a slot used for nonsense."""
        deep = b'[' * 100_000 + b']' * 100_000
        good = self.query(query='X').encode()
        bodies = [b'', b'{', b'[]', b'null', good[:-1], deep]
        bodies += [good.replace(b'"X"', deep), good.replace(b'X', b'\xff')]
        bodies += [good.replace(b'X', b'\\ud800'), b'\x00' * 1000]
        for body in bodies:
            self.refused(400, body)

    def test_bodies_over_the_limit(self):
        """Guards against memory that any caller can fill."""
        self.refused(413, b'x' * (10 * MIB))
        self.refused(413, iter([b'x' * MIB] * 10), encode_chunked=True)

    def test_values_out_of_range(self):
        """Guards against a query that waits for a day or is never timed."""
        for deadline_ms in (0, -1, DAY_MS, 1.5, 'soon', None):
            self.refused(400, self.query(deadline_ms=deadline_ms))
        for field in ('service', 'rank'):
            self.refused(404, self.query(**{field: 'none'}))
            self.refused(400, self.query(**{field: 'n' * 100_000}))
        self.assertEqual(200, self.send(self.query())[0])

    def test_methods_and_paths(self):
        """Guards against HTML errors that no program reads."""
        for method, path in (
            ('GET', '/v1/query'),
            ('DELETE', '/v1/query'),
            ('POST', '/v1/nodes'),
            ('PATCH', '/v1/resources/ranks/border'),
            ('POST', '/v1/resources'),
        ):
            self.refused(405, None, method, path)
        for path in ('/', '/v1', '/v1/none', '/v1/resources/x', '/%ff'):
            self.refused(404, None, 'GET', path)

    def test_heads_that_cannot_be_read(self):
        """Guards against a closed connection without a reason, and against
        running what follows a head that was refused.
        """
        searches = self.searches()
        for head in (
            b'GET / HTTP/1.1\r\nX: ' + b'x' * 65_536 + b'\r\n\r\n',
            b'GET / HTTP/1.1\r\n' + b'X: y\r\n' * 5_000 + b'\r\n',
            b'nonsense\r\n\r\n',
            b'GET / HTTP/1.1\r\nX\r\n\r\n' + self.whole(),
            b'POST /v1/query HTTP/1.1\r\nContent-Length: x\r\n\r\n',
        ):
            made = self.connect()
            made.sendall(head)
            with made, made.makefile('rb') as stream:
                received = stream.read()
            self.assertEqual(1, received.count(b'HTTP/1.1 '))
            status, _, body = received.partition(b'\r\n\r\n')
            self.assertIn(b'400', status, head[:50])
            self.assertTrue(json.loads(body)['remedy'])
        clusters.wait_until(self.nothing_left, 'nothing is left behind', 20)
        self.assertEqual(searches, self.searches())

    def test_requests_that_are_cut_off(self):
        """Guards against requests that wait for the rest for ever."""
        whole = self.whole()
        for length in (10, whole.index(b'{'), len(whole) - 10):
            made = self.connect()
            made.sendall(whole[:length])
            made.close()

    def test_a_caller_that_hangs_up(self):
        """Guards against slots that run for nobody."""
        control = self.cluster.controls[0]
        slow = {'set': {'slowdown': 20_000.0}}
        json_http.call_json('POST', control, '/', slow)
        made = self.connect()
        # Deadline and service time are past the time limit of the check.
        made.sendall(self.whole(deadline_ms=60_000))

        def running():
            seen = json_http.call_json('GET', control, '/')[1]
            return sum(s['running'] for s in seen.values())

        clusters.wait_until(running, 'the query runs', 20)
        made.close()
        json_http.call_json('POST', control, '/', {'set': {'slowdown': 1.0}})

    def test_an_operator_that_hangs_up(self):
        """Guards against watches that wait for nobody."""
        made = self.connect()
        path = b'/v1/resources?watch_from=999999999&wait_ms=30000'
        made.sendall(b'GET %s HTTP/1.1\r\nHost: x\r\n\r\n' % path)

        def watching():
            status = json_http.call_json('GET', self.http, '/v1/nodes')[1]
            return status['tasks']['operator_http']['watches']

        clusters.wait_until(watching, 'the watch waits', 20)
        made.close()

    def test_hostile_text_in_names(self):
        """Guards against log lines that a caller forges or breaks."""
        text = 'x\r\n{"level":"error"}\u2028\x00\x1b[2J"\\'
        self.refused(404, self.query(service=text))
        self.refused(404, self.query(rank=text, caller=text))
        status, _ = self.send(self.query(caller=text, request_id=text))
        self.assertEqual(200, status)
        self.refused(400, None, 'GET', '/v1/resources/ranks/%0d%0a%7b')
