import unittest

import hypothesis

from gypsumbridge_wire import status_line
from tests.wire import status_lines


class StatusLineTest(unittest.TestCase):
    def check(self, line):
        found = status_line.classify_line(line.encode('latin-1'))
        self.assertEqual(status_lines.expect(line), found.value)

    def test_all_statuses(self):
        """Guards against a status that is taken for what it is not."""
        for status in range(1_000):
            with self.subTest(status=status):
                line = status_lines.make_line(status)
                self.check(line)
                is_answer = status_lines.expect(line) == 'answer'
                self.assertEqual(is_answer, status_line.is_answer(status))

    @hypothesis.settings(max_examples=500, derandomize=True)
    @hypothesis.given(status_lines.LINES)
    def test_any_line(self, line):
        """Guards against odd spellings that are taken for a number."""
        self.check(line)
