import json
import pathlib
import re
import unittest

from gypsumbridge_node.gateway.settings import gateway_checks
from gypsumbridge_node.settings import checks
from gypsumbridge_wire import operator

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')


class OperatorsPageTest(unittest.TestCase):
    def test_examples_are_valid(self):
        """Guards against an example that a node refuses."""
        blocks = re.findall(r'```json\n(.*?)```', PAGE, re.DOTALL)
        found = 0
        for block in blocks:
            content = json.loads(block)
            for item in content if isinstance(content, list) else [content]:
                if 'spec' in item:
                    operator.decode_declaration(json.dumps(item).encode())
                    found += 1
        self.assertEqual(5, found)

    def test_every_setting_is_listed(self):
        """Guards against a setting that operators cannot find."""
        for section, key in (
            *checks.VALUE_CHECKS,
            *gateway_checks.VALUE_CHECKS,
        ):
            self.assertIn(f'| `{section}` `{key}` |', PAGE)

    def test_every_metric_is_listed(self):
        """Guards against a counter that nobody knows how to read."""
        pattern = re.compile(
            r"(?:[cC]ount|gauge|Observe)\(\s*f?'([a-z_]+\.[a-z_.]+)", re.DOTALL
        )
        names = set()
        for path in (ROOT / 'packages').glob('*/src/**/*.py'):
            names |= set(pattern.findall(path.read_text(encoding='utf-8')))
        self.assertGreater(len(names), 20)
        for name in names:
            self.assertIn(f'`{name}', PAGE)
