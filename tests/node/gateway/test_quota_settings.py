import pathlib
import re
import tempfile
import unittest

from gypsumbridge_decisions import errors
from gypsumbridge_node.gateway import daemon
from gypsumbridge_node.gateway.settings import quota_settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
TEMPLATE = (ROOT / 'deploy' / 'gateway.ini').read_text(encoding='utf-8')
# What the platform provides to every deployment.
VALUES = {
    'nodeName': 'n-1',
    'zone': 'd1',
    'limits.linkMbps': '13.5',
    'listen.front': '10.0.0.1:1',
    'listen.ready': '10.0.0.1:2',
    'ip': '10.0.0.1',
    'internalPortRange.0': '3',
    'internalPortRange.1': '4',
    'platform.address': '10.0.0.2:5',
    'bounds.drainMs': '3000',
    'bounds.retryBudgetRatio': '0.1',
    'bounds.budgetSlack': '10',
    'bounds.budgetWindowS': '10',
    'bounds.graceS': '20',
}
BOUNDS = {
    'bounds.quotaWindowS': '4',
    'bounds.quotaOvershoot': '0.2',
    'bounds.quotaSlack': '15',
    'bootstrap': 'true',
}


def load(values, more=''):
    """Load the template as the platform renders it, with more of [quota]."""
    text = re.sub(
        r'\{\{([\w.]+)(\|json)?\}\}',
        lambda m: values.get(m[1], 'null' if m[2] else ''),
        TEMPLATE,
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'gateway.ini'
        path.write_text(text.replace('[quota]\n', f'[quota]\n{more}'))
        return daemon.load_settings(path).quota


class QuotaSettingsTest(unittest.TestCase):
    def test_deployments_without_the_bounds_start_as_before(self):
        """Guards against a refused start where the platform has no bounds."""
        self.assertEqual(quota_settings.QuotaSettings(), load(VALUES))

    def test_the_bounds_of_the_platform_are_used(self):
        """Guards against limits that are kept for another window."""
        expected = quota_settings.QuotaSettings(4, 0.2, 15, first_start=True)
        self.assertEqual(expected, load(VALUES | BOUNDS))
        later = load(VALUES | BOUNDS | {'bootstrap': 'false'})
        self.assertFalse(later.first_start)

    def test_bad_values_are_refused(self):
        """Guards against a node that keeps no limit at all."""
        bad = [(name, '-0.1') for name in BOUNDS]
        for name, value in (*bad, ('bounds.quotaWindowS', 'nan')):
            with self.assertRaises(errors.SettingsError) as caught:
                load(VALUES | {name: value})
            self.assertIn('[quota]', caught.exception.message)
        for line in ('partitions = 0\n', 'holder_ttl_s = 9\n'):
            with self.assertRaises(errors.SettingsError):
                load(VALUES, line)
