import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from gypsumbridge_decisions import errors
from gypsumbridge_node.settings import load

GOOD = {
    'node': {
        'node_id': 'node-1',
        'failure_domain': 'fd-a',
        'failure_domains': 'fd-a, fd-b',
        'peer_address': '127.0.0.1:9001',
        'http_address': '127.0.0.1:9002',
    },
    'store': {'address': '127.0.0.1:9003'},
    'host_list': {'address': '127.0.0.1:9004'},
}
BAD = [
    ('node', 'node_id', 'a b'),
    ('node', 'failure_domain', 'fd-x'),
    ('node', 'failure_domains', 'fd-a, fd-a'),
    ('node', 'peer_address', 'localhost:9001'),
    ('node', 'peer_address', '127.0.0.1'),
    ('node', 'http_address', '127.0.0.1:0'),
    ('node', 'http_address', '127.0.0.1:9001'),
    ('host_list', 'address', '127.0.0.1:9003'),
    ('store', 'timeout_ms', '0'),
    ('store', 'timeout_ms', 'soon'),
    ('timing', 'balancer_lag_ms', '90000'),
    ('limits', 'max_body_bytes', '1'),
    ('limits', 'max_deadline_ms', '-1'),
    ('log', 'level', 'loud'),
    ('metrics', 'statsd_address', 'statsd'),
    ('store', 'adress', 'x'),
]


def write(folder, changes=()):
    sections = {name: dict(values) for name, values in GOOD.items()}
    for section, key, value in changes:
        sections.setdefault(section, {})[key] = value
    path = pathlib.Path(folder) / 'node.ini'
    lines = []
    for name, values in sections.items():
        lines.append(f'[{name}]')
        lines += [f'{key} = {value}' for key, value in values.items()]
    path.write_text('\n'.join(lines))
    return path


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def test_every_check_has_a_bad_value(self):
        """Guards against a node that starts with invalid settings."""
        load.load_settings(write(self.folder))
        for section, key, value in BAD:
            with self.subTest(key=key, value=value):
                path = write(self.folder, [(section, key, value)])
                with self.assertRaises(errors.SettingsError) as caught:
                    load.load_settings(path)
                lines = caught.exception.message.splitlines()
                self.assertEqual(1, len(lines), lines)
                self.assertIn(f'{path}: [{section}] {key} = {value}', lines[0])
                self.assertIn('; ', lines[0])

    def test_a_value_that_the_template_left_open_has_its_default(self):
        """Guards against a node that does not start on an older platform."""
        defaults = load.load_settings(write(self.folder))
        for value in ('', 'null', '{{bounds.timeoutMs|json}}'):
            with self.subTest(value=value):
                path = write(self.folder, [('store', 'timeout_ms', value)])
                self.assertEqual(defaults, load.load_settings(path))

    def test_all_problems_are_reported_at_once(self):
        """Guards against having to start the node once for each mistake."""
        changes = [BAD[0], BAD[3], BAD[9], BAD[13]]
        path = write(self.folder, changes)
        with self.assertRaises(errors.SettingsError) as caught:
            load.load_settings(path)
        self.assertEqual(4, len(caught.exception.message.splitlines()))

    def test_an_address_in_use_is_explained(self):
        """Guards against a stack trace for a mistake in the settings."""
        for key in ('http_address', 'peer_address'):
            with socket.create_server(('127.0.0.1', 0)) as used:
                address = f'127.0.0.1:{used.getsockname()[1]}'
                path = write(self.folder, [('node', key, address)])
                ended = subprocess.run(
                    [sys.executable, '-m', 'gypsumbridge_node', path],
                    capture_output=True,
                    timeout=60,
                    check=False,
                )
            self.assertEqual(1, ended.returncode)
            self.assertIn(address.encode(), ended.stderr)
            self.assertNotIn(b'Traceback', ended.stderr)

    def test_bad_settings_start_nothing(self):
        """Guards against opening a port before the settings are checked."""
        path = write(self.folder, [BAD[0]])
        for extra in ([], ['--check-settings']):
            ended = subprocess.run(
                [sys.executable, '-m', 'gypsumbridge_node', path, *extra],
                capture_output=True,
                timeout=60,
                check=False,
            )
            self.assertEqual(2, ended.returncode)
            self.assertEqual(b'', ended.stdout)
            self.assertIn(b'node_id', ended.stderr)
