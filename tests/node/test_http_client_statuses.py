"""Statuses that no server sends, at the query API's client."""

import unittest

import hypothesis

from tests.node import test_http_client
from tests.wire import status_lines

REST = b'\r\nContent-Length: 3\r\n\r\nabc'
BOUNDARIES = (0, 1, 99, 101, 104, 199, 200, 204, 421, 599, 600, 700, 999)


class HttpClientStatusesTest(unittest.TestCase):
    def receive(self, data):
        """Return the client's result, or None while it waits for more."""
        edge = test_http_client.HttpClientTest()
        edge.setUp()
        try:
            _, peer = edge.send()
            peer.send(data)
            for _ in range(200):
                if edge.results:
                    break
                edge.loopback.reactor.iterate(0.001)
            return edge.results[0] if edge.results else None
        finally:
            edge.doCleanups()

    def check(self, line):
        data = line.encode('latin-1')
        kind = status_lines.expect(line)
        if kind == 'interim':
            found = self.receive(data + b'\r\n\r\nHTTP/1.1 200 OK' + REST)
            self.assertEqual((200, b'abc'), (found.status, found.body))
            return
        found = self.receive(data + REST)
        self.assertIsNotNone(found)
        if kind == 'answer':
            self.assertEqual(int(line[9:12]), found.status)
        else:
            self.assertFalse(hasattr(found, 'status'))

    def test_statuses_at_the_boundaries(self):
        """Guards against a status that is passed on or waited for."""
        for status in BOUNDARIES + tuple(status_lines.INTERIM):
            with self.subTest(status=status):
                self.check(status_lines.make_line(status))

    def test_odd_status_lines(self):
        """Guards against a parser that is more tolerant than the rule."""
        for line in status_lines.BROKEN + status_lines.ANSWERS:
            with self.subTest(line=line):
                self.check(line)

    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(status_lines.LINES)
    def test_any_status_line(self, line):
        """Guards against lines that the tables do not list."""
        self.check(line)

    def test_a_line_in_pieces(self):
        """Guards against a check that sees only whole lines."""
        for line in ('HTTP/1.1 600 X', 'HTTP/1.1 000 X'):
            edge = test_http_client.HttpClientTest()
            edge.setUp()
            _, peer = edge.send()
            for byte in line.encode() + REST:
                peer.send(bytes([byte]))
                edge.loopback.reactor.iterate(0.001)
                if edge.results:
                    break
            edge.loopback.run_until(lambda found=edge: found.results)
            self.assertFalse(hasattr(edge.results[0], 'status'))
            edge.doCleanups()


if __name__ == '__main__':
    unittest.main()
