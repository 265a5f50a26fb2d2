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
        """Guards against samples that nodes refuse."""
        for name, searchers in (('almaty', 112), ('addis', 107)):
            specs = declarations.read_directory(SAMPLES / name)
            found = catalog.make_catalog(
                1,
                [
                    resources.Resource(kind, name, 1, 1, '', spec)
                    for (kind, name), spec in specs.items()
                ],
            )
            for spec in specs.values():
                declaration.check_references(found, spec)
            kinds = [kind for kind, _ in specs]
            self.assertEqual(searchers, kinds.count(resources.Kind.ENDPOINT))

    def test_errors_contain_the_path_of_the_file(self):
        """Guards against errors that do not show which file is invalid."""
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
