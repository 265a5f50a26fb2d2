"""The limits that all connections of a process share."""

import pathlib
import tempfile
import types
import unittest

from gypsumbridge_node.gateway import daemon
from gypsumbridge_node.gateway import limit_reports
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import open_connections

SETTINGS = """\
[node]
node_id = n
failure_domain = d
[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
metrics = 127.0.0.1:3
[discovery]
store_address = 127.0.0.1:4
[stop]
grace_s = 9
[limits]
"""


class SharedLimitsTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.evicted = []
        self.budget = memory_budget.MemoryBudget(1_000, lambda: self.now_s)

    def make_holder(self, name):
        def evict():
            self.evicted.append(name)
            self.budget.release(evict)

        return evict

    def test_the_longest_holder_goes_before_a_larger_new_one(self):
        """Guards against uploads that many small idle requests displace."""
        for number in range(9):
            self.budget.record(self.make_holder(number), 100)
        self.now_s = 5.0
        self.budget.record(self.make_holder('new'), 400)
        self.assertEqual(
            [number for number in range(9) if number in self.evicted],
            self.evicted,
        )
        self.assertNotIn('new', self.evicted)
        self.assertLessEqual(self.budget.used_bytes, 1_000)

    def test_what_is_in_progress_is_not_evicted(self):
        """Guards against a request that ends although it was accepted."""
        busy = self.make_holder('busy')
        self.budget.record(busy, 900, 0)
        self.budget.record(self.make_holder('idle'), 50)
        self.budget.record(self.make_holder('large'), 100)
        self.assertEqual(['large', 'idle'], self.evicted)
        self.assertEqual([busy], list(self.budget.holders))
        self.assertFalse(self.budget.can_pin(101))
        # What others hold and have to give up does not count.
        self.budget.record(self.make_holder('late'), 100)
        self.assertTrue(self.budget.can_pin(100))

    def test_an_eviction_that_frees_nothing_ends(self):
        """Guards against a loop, and a recursion over all holders."""

        def make_stubborn(size):
            def evict():
                self.evicted.append(size)
                self.budget.record(evict, size)

            return evict

        for size in range(1, 200):
            self.budget.record(make_stubborn(size), size)
        self.assertGreater(len(self.evicted), 0)

    def test_the_budget_follows_from_the_memory(self):
        """Guards against a budget that the smallest hosts do not have."""
        mib = memory_budget.MIB
        for memory_mb, expected_mib in (
            (0, 48),
            (152, 52),
            (300, 126),
            (9, 8),
        ):
            with self.subTest(memory_mb=memory_mb):
                found = memory_budget.budget_bytes(memory_mb)
                self.assertEqual(expected_mib * mib, found)

    def test_connections_without_a_request_are_closed_first(self):
        """Guards against callers that lose their connection to scanners."""
        closed = []

        class Connection:
            def __init__(self, name, closable, used, last_use_s):
                self.name = name
                self.is_closable = lambda: closable
                self.use_order = lambda: (used, last_use_s)

            def abort(self, limit):
                closed.append((self.name, limit))

        opened = open_connections.OpenConnections(20, 200)
        for number in range(20):
            kinds = (('busy', False), ('idle', True), ('silent', True))
            name, closable = kinds[number % 3]
            opened.add(
                Connection(name, closable, name != 'silent', number), 10
            )
        self.assertEqual([], closed)
        opened.add(Connection('new', True, False, 99), 10)
        self.assertEqual([('silent', 'descriptors')] * 2, closed)
        # The descriptors are used up by connections to other servers.
        opened.add(Connection('new', True, False, 99), 200)
        self.assertEqual(3, len(closed))
        only_busy = open_connections.OpenConnections(1, 200)
        only_busy.add(Connection('busy', False, True, 0), 10)
        only_busy.add(Connection('last', False, False, 1), 10)
        self.assertEqual(('last', 'descriptors'), closed[-1])
        self.assertEqual(1, len(only_busy.connections))

    def test_reports_are_counted_and_their_lines_bounded(self):
        """Guards against a log that a crowd of clients can fill."""
        counts, lines = [], []
        logger = types.SimpleNamespace(
            warning=lambda text, extra: lines.append(extra)
        )
        reports = limit_reports.LimitReports(
            counts.append, logger, lambda: self.now_s
        )
        for _ in range(100):
            reports.report('memory')
        self.now_s = 1.0
        reports.report('head')
        self.assertEqual([{'memory': 1}, {'memory': 99, 'head': 1}], lines)
        self.assertEqual(101, len(counts))

    def test_a_template_may_leave_the_limits_empty(self):
        """Guards against a gateway that does not start on such a host."""
        cases = (
            ('', (0, 0)),
            ('memory_mb =\nmax_fds =\n', (0, 0)),
            ('memory_mb = 152\nmax_fds = 1535\n', (152, 1_535)),
        )
        for text, expected in cases:
            with self.subTest(text=text), tempfile.TemporaryDirectory() as at:
                path = pathlib.Path(at) / 'gateway.ini'
                path.write_text(SETTINGS + text)
                found = daemon.load_settings(path).limits
                self.assertEqual(expected, (found.memory_mb, found.max_fds))


if __name__ == '__main__':
    unittest.main()
