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


def load(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'gateway.ini'
        path.write_text(text, encoding='utf-8')
        return daemon.load_settings(path)


def render(values, template=TEMPLATE):
    """Return the template as the platform renders it."""
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda m: values.get(m[1], ''), template
    )


class QuotaSettingsTest(unittest.TestCase):
    def test_deployments_without_the_bounds_start_as_before(self):
        """Guards against a refused start where the platform has no bounds."""
        found = load(render(VALUES))
        self.assertEqual(quota_settings.QuotaSettings(), found.quota)

    def test_the_bounds_of_the_platform_are_used(self):
        """Guards against limits that are kept for another window."""
        found = load(render(VALUES | BOUNDS)).quota
        self.assertEqual(
            quota_settings.QuotaSettings(4, 0.2, 15, first_start=True), found
        )
        later = load(render(VALUES | BOUNDS | {'bootstrap': 'false'})).quota
        self.assertFalse(later.first_start)

    def test_bad_values_are_refused(self):
        """Guards against a node that keeps no limit at all."""
        for key, value in (
            ('window_s', '0'),
            ('window_s', 'nan'),
            ('overshoot', '-0.1'),
            ('slack', 'some'),
            ('first_start', 'perhaps'),
        ):
            with self.subTest(key=key, value=value):
                text = re.sub(
                    rf'^{key} = \{{\{{(bounds.q.*|bootstrap)\}}\}}$',
                    f'{key} = {value}',
                    TEMPLATE,
                    flags=re.MULTILINE,
                )
                self.assertNotEqual(TEMPLATE, text)
                with self.assertRaises(errors.SettingsError) as caught:
                    load(render(VALUES, text))
                self.assertIn(f'[quota] {key}', caught.exception.message)
        for key in ('partitions', 'holder_ttl_s'):
            text = render(VALUES).replace('[quota]', f'[quota]\n{key} = 0')
            with self.assertRaises(errors.SettingsError) as caught:
                load(text)
            self.assertIn(f'[quota] {key}', caught.exception.message)

    def test_an_empty_required_key_is_refused(self):
        """Guards against a gateway that stops without a grace time."""
        with self.assertRaises(errors.SettingsError):
            load(render(VALUES | {'bounds.graceS': ''}))
