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
        output = b''
        while True:
            try:
                output += os.read(self.reader, 65_536)
            except BlockingIOError:
                return output

    def test_a_stopped_reader_blocks_nothing_and_bounds_the_buffer(self):
        """Guards against a process that blocks on the reader of its log,
        or that buffers without bound.
        """
        for _ in range(1_000):
            self.writer.write(LINE)
        self.assertLessEqual(self.writer.waiting_bytes, 50_000)
        self.assertGreater(self.writer.dropped_lines, 0)

    def test_dropped_lines_are_counted_in_a_line(self):
        """Guards against gaps in the log that are not reported."""
        for _ in range(1_000):
            self.writer.write(LINE)
        output = b''
        while self.writer.waiting:
            output += self.read()
            self.writer.flush()
        output += self.read()
        lines = output.decode().splitlines()
        counted = json.loads(lines[-1])['count']
        self.assertEqual(1_000, len(lines) - 1 + counted)
        self.assertEqual({LINE.strip()}, set(lines[:-1]))
