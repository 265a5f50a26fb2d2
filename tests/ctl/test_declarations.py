import json
import pathlib
import tempfile
import unittest

from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import declarations
from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import resources

SAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'samples'
RANK = {
    'kind': 'ranks',
    'name': 'a',
    'spec': {'urgency': 0, 'floor': 0.5, 'target_ms': 200},
}


class DeclarationsTest(unittest.TestCase):
    def test_samples_are_valid_together(self):
        """Guards against samples that a node refuses."""
        for name, searchers in (('almaty', 112), ('addis', 107)):
            found = declarations.read_directory(SAMPLES / name)
            made = catalog.make_catalog(
                1,
                [
                    resources.Resource(kind, name, 1, 1, '', spec)
                    for (kind, name), spec in found.items()
                ],
            )
            for spec in found.values():
                declaration.check_references(made, spec)
            kinds = [kind for kind, _ in found]
            self.assertEqual(searchers, kinds.count(resources.Kind.ENDPOINT))

    def test_bad_files_are_named(self):
        """Guards against an error that leaves the operator searching."""
        for content in (
            '{',
            '[' * 100_000,
            '7',
            json.dumps([RANK, RANK]),
            json.dumps({**RANK, 'kind': 'rank'}),
            json.dumps({**RANK, 'name': '../x'}),
        ):
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / 'bad.json'
                path.write_text(content)
                with self.assertRaises(ctl_error.CtlError) as caught:
                    declarations.read_directory(pathlib.Path(folder))
                self.assertIn('bad.json', str(caught.exception))
                self.assertEqual(2, caught.exception.code)
