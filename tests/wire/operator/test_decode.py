import json
import unittest

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import resources
from gypsumbridge_wire import operator

RANK = {'urgency': 0, 'floor': 0.5, 'target_ms': 200}


class DecodeTest(unittest.TestCase):
    def test_a_misspelled_field_is_refused(self):
        """Guards against a default in place of the intended value."""
        bad = [
            {**RANK, 'flor': 0.1},
            {**RANK, 'name': 'other'},
            {**RANK, 'floor': 2},
            {**RANK, 'floor': 'much'},
            [],
        ]
        for spec in bad:
            body = json.dumps({'spec': spec}).encode()
            with self.assertRaises(errors.DeclarationError, msg=spec):
                operator.decode_spec(resources.Kind.RANK, 'border', body)

    def test_malformed_bodies_are_refused(self):
        """Guards against a decoder that raises an error of another type."""
        deep = b'{"spec":' + b'[' * 100_000 + b']' * 100_000 + b'}'
        for body in (
            b'',
            b'\xff',
            b'{"spec":NaN}',
            deep,
            b'{"spec":"\\ud800"}',
        ):
            with self.assertRaises(errors.DeclarationError):
                operator.decode_spec(resources.Kind.RANK, 'border', body)

    def test_names_are_valid_in_paths_and_logs(self):
        """Guards against names that break keys, paths or log lines."""
        for name in ('a%2Fb', 'a%0Ab', '..%2F', '%C3%A9', 'a' * 129):
            with self.assertRaises(errors.DeclarationError, msg=name):
                operator.decode_path(f'/v1/resources/ranks/{name}')
        self.assertEqual(
            (resources.Kind.RANK, 'a.b-c_1'),
            operator.decode_path('/v1/resources/ranks/a.b-c_1'),
        )

    def test_a_write_needs_a_precondition(self):
        """Guards against a write over a revision that was never read."""
        decode = operator.decode_expected_revision
        self.assertEqual(0, decode('', '*'))
        self.assertEqual(7, decode('"7"', ''))
        for if_match in ('', '*', '-1', '1.5', '٣', '9' * 40):
            with self.assertRaises(errors.RequestError):
                decode(if_match, '')
