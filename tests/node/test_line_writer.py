import json
import os
import unittest

from gypsumbridge_node import line_writer

LINE = 'x' * 999 + '\n'


class LineWriterTest(unittest.TestCase):
    def setUp(self):
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        self.writer = line_writer.make_line_writer(descriptor, 50_000)

    def read(self):
        os.set_blocking(self.reader, False)
        found = b''
        while True:
            try:
                found += os.read(self.reader, 65_536)
            except BlockingIOError:
                return found

    def test_a_reader_that_stops_blocks_nothing_and_costs_bounded_memory(self):
        """Guards against a process that waits for its log's reader."""
        for _ in range(1_000):
            self.writer.write(LINE)
        self.assertLessEqual(self.writer.waiting_bytes, 50_000)
        self.assertGreater(self.writer.dropped_lines, 0)

    def test_what_was_left_out_is_counted_in_a_line(self):
        """Guards against gaps in the log that nobody can see."""
        for _ in range(1_000):
            self.writer.write(LINE)
        found = b''
        while self.writer.waiting:
            found += self.read()
            self.writer.flush()
        found += self.read()
        lines = found.decode().splitlines()
        counted = json.loads(lines[-1])['count']
        self.assertEqual(1_000, len(lines) - 1 + counted)
        self.assertEqual({LINE.strip()}, set(lines[:-1]))
