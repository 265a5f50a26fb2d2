import pathlib
import tempfile
import unittest

from gypsumbridge_standins.cluster import log_lines
from gypsumbridge_standins.cluster import ports


class ClusterFilesTest(unittest.TestCase):
    def test_a_line_that_is_being_written_is_not_read(self):
        """Guards against a truncated line that is parsed as a whole one."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'node.log'
            for text, expected in (
                ('', []),
                ('{"a": 1', []),
                ('{"a": 1}\n{"a": 2', [{'a': 1}]),
                ('plain\n{"a": 1}\n', [{'a': 1}]),
            ):
                with self.subTest(text=text):
                    path.write_text(text)
                    self.assertEqual(expected, log_lines.read_records(path))

    def test_no_port_is_handed_out_twice(self):
        """Guards against two servers that are given the same port."""
        found = [p for _ in range(40) for p in ports.find_free_ports(100)]
        self.assertEqual(len(found), len(set(found)))
