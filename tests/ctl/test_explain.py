import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl.commands import explain

LINES = (
    {'time': '3', 'logger': 'n1', 'message': 'late', 'request_id': 'a'},
    {'time': '1', 'logger': 'n1', 'message': 'other', 'request_id': 'b'},
)


class ExplainTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.first = pathlib.Path(folder.name) / 'n1.log'
        lines = [json.dumps(line) for line in LINES]
        self.first.write_text('\n'.join(['no json', '{broken', *lines]))
        self.second = pathlib.Path(folder.name) / 'n2.log'
        early = {'time': '2', 'logger': 'n2', 'message': 'early', 'query': 'a'}
        # The bench and service managers prepend text to each line.
        self.second.write_text(f' 12.5 n2 {json.dumps(early)}\n')

    def run_explain(self, request_id, files):
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            status = explain.explain(request_id, files)
        return status, printed.getvalue().splitlines()

    def test_lines_of_one_request_come_in_order(self):
        """Guards against output that mixes requests or is out of order."""
        status, lines = self.run_explain('a', [self.first, self.second])
        self.assertEqual(0, status)
        self.assertEqual(['early', 'late'], [x.split()[2] for x in lines])

    def test_an_unknown_request_is_reported(self):
        """Guards against empty output that looks like success."""
        status, lines = self.run_explain('c', [self.first])
        self.assertEqual(1, status)
        self.assertEqual(['no log line refers to c'], lines)

    def test_a_missing_file_is_an_error(self):
        """Guards against empty output for a misspelt file name."""
        with self.assertRaises(ctl_error.CtlError):
            self.run_explain('a', [self.first.with_name('none.log')])

    def test_refusals_of_keys_are_explained(self):
        """Guards against an operator who takes 503 for a wrong key."""
        for reason, status in (
            ('unknown_key', 401),
            ('maybe_unknown_key', 503),
        ):
            record = {'request_id': 'k', 'reason': reason, 'version': 7}
            self.first.write_text(json.dumps(record))
            _, (line,) = self.run_explain('k', [self.first])
            self.assertIn(f'({reason}) version=7 [status {status}: ', line)
