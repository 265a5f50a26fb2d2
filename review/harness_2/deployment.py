"""A small deployment on loopback: the platform's stand-in and gateways.

Gateways are started with the command of the deploy file and with settings
written from the template that it names. Each one is a machine with a loopback
address of its own.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from typing import Any
from typing import TextIO

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'
STANDINS = ROOT / 'target' / 'review-2'
DEPLOY_FILE = ROOT / 'deploy' / 'system.toml'
ROLE = tomllib.loads(DEPLOY_FILE.read_text())['roles']['gateway']
SETTINGS_VARIABLE = 'GYPSUMBRIDGE_NODE_FILE'
READY_PATH = '/gypsumbridge/ready'
PLATFORM = 'gypsumbridge_standins.users_platform'
# The template's own port of the metrics; machines share this host.
METRICS_PORT = ':9464'
START_TIMEOUT_S = 20.0
# Below the range of outgoing connections.
FIRST_PORT = 12_000
LAST_PORT = 31_000
_returned: set[tuple[str, int]] = set()
# As the sheet of adal-registry has them.
BOUNDS = {
    'drainMs': 3000,
    'graceS': 6,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 58,
}
LIMITS = {'linkMbps': 1000.0, 'memoryMb': 300, 'maxFds': 4100}
CLIENT_LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 262_144,
    'headerTimeoutMs': 3_000,
    'idleTimeoutMs': 15_000,
}
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


class CannotRunError(Exception):
    """The case cannot run here."""


def free_port(address: str) -> int:
    """Return a port that is free at a loopback address.

    It is outside of the range of outgoing connections, one of which could
    take it before its server listens.
    """
    for _ in range(1_000):
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if (address, port) in _returned:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
        _returned.add((address, port))
        return port
    raise CannotRunError(f'no free port at {address}')


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the deploy page describes."""

    def value_of(found: re.Match[str]) -> str:
        value: Any = fields
        for name in found[1].split('.'):
            if isinstance(value, list):
                value = value[int(name)]
            else:
                value = value.get(name) if value else None
        if found[2]:
            return json.dumps(value)
        return '' if value is None else str(value)

    return _PLACEHOLDER.sub(value_of, template)


class Machine:
    """A gateway's name, zone and addresses."""

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.front = free_port(address)
        self.ready = free_port(address)
        self.metrics = free_port(address)
        self.peers = free_port(address)
        self.gathers = free_port(address)


class Deployment:
    """Owns the processes, their folder and the record of the case."""

    def __init__(self, record: pathlib.Path, zones: tuple[str, ...]) -> None:
        if not DEPS.is_dir() or not STANDINS.is_dir():
            raise CannotRunError(
                'run the build of deploy/system.toml and review/build-2.sh'
            )
        self.zones = zones
        self.bounds = dict(BOUNDS)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        self.machines: dict[str, Machine] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.record_file: TextIO = record.open('w', encoding='utf-8')
        self.record_lock = threading.Lock()
        self.started_s = time.monotonic()
        self.store_port = free_port('127.0.0.1')
        self.control_port = free_port('127.0.0.1')

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self.started_s

    def record(self, event: str, **fields: Any) -> None:
        """Write a line to the record."""
        line = {'s': round(self.now_s(), 3), 'event': event, **fields}
        with self.record_lock:
            self.record_file.write(json.dumps(line) + '\n')
            self.record_file.flush()

    def start_platform(
        self, config: dict[str, Any], services: dict[str, tuple[str, ...]]
    ) -> None:
        """Start the store and a searcher of each service in its zones."""
        searchers = {
            f'{service}-{zone}': {
                'service': service,
                'port': free_port('127.0.0.1'),
                'domain': zone,
            }
            for service, zones in services.items()
            for zone in zones
        }
        plan = {
            'store': self.store_port,
            'control': self.control_port,
            'config': config,
            'searchers': searchers,
            'run_log': str(self.folder / 'runs.log'),
        }
        path = self.folder / 'platform.json'
        path.write_text(json.dumps(plan))
        self.spawn('platform', ['python3', '-m', PLATFORM, str(path)], {})
        self.wait_until(
            lambda: self.is_listening('127.0.0.1', self.store_port)
        )

    def add_machine(self, name: str, zone: str) -> Machine:
        """Add a machine with an address of its own."""
        address = f'127.0.2.{len(self.machines) + 1}'
        self.machines[name] = Machine(name, zone, address)
        return self.machines[name]

    def start_gateway(self, name: str, first_start: bool) -> None:
        """Write a machine's settings and start its gateway."""
        machine = self.machines[name]
        fields = {
            'nodeName': name,
            'zone': machine.zone,
            'ip': machine.address,
            'zones': dict.fromkeys(self.zones, 'region-1'),
            'listen': {
                'front': f'{machine.address}:{machine.front}',
                'ready': f'{machine.address}:{machine.ready}',
            },
            'internalPortRange': [machine.peers, machine.gathers],
            'bootstrap': first_start,
            'limits': LIMITS,
            'bounds': self.bounds,
            'platform': {'address': f'127.0.0.1:{self.store_port}'},
        }
        template = (ROOT / ROLE['template']).read_text()
        text = render(template, fields)
        text = text.replace(METRICS_PORT, f':{machine.metrics}')
        path = self.folder / f'{name}.ini'
        path.write_text(text)
        self.spawn(name, ROLE['run'].split(), {SETTINGS_VARIABLE: str(path)})
        self.record('gateway started', machine=name, first_start=first_start)

    def spawn(
        self, name: str, command: list[str], variables: dict[str, str]
    ) -> None:
        """Start a process with a log file of its own."""
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'PYTHONPATH': f'{DEPS}:{STANDINS}',
                    **variables,
                },
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self.processes[name].send_signal(number)
        self.record('signal', process=name, signal=number.name)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def ready_status(self, name: str, timeout_s: float = 1.0) -> int:
        """Return the status of a readiness probe, 0 without an answer."""
        machine = self.machines[name]
        connection = http.client.HTTPConnection(
            machine.address, machine.ready, timeout=timeout_s
        )
        try:
            connection.request('GET', READY_PATH)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def wait_until_ready(self, *names: str) -> None:
        """Wait until gateways report that they are ready."""
        for name in names:
            self.wait_until(lambda name=name: self.ready_status(name) == 200)
            self.record('ready', machine=name)

    def wait_until(self, condition: Any) -> None:
        """Wait until a condition holds; CannotRunError if it never does."""
        limit_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < limit_s:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRunError('the deployment did not start')

    def is_listening(self, address: str, port: int) -> bool:
        """Return whether a port accepts connections."""
        try:
            socket.create_connection((address, port), 1.0).close()
        except OSError:
            return False
        return True

    def call_store(self, path: str) -> dict[str, Any]:
        """Return the body of the store's answer to a read."""
        connection = http.client.HTTPConnection('127.0.0.1', self.store_port)
        try:
            connection.request('GET', path)
            body = connection.getresponse().read()
        finally:
            connection.close()
        found: dict[str, Any] = json.loads(body)
        return found

    def control(self, **command: Any) -> dict[str, Any]:
        """Send a command to the platform's stand-in."""
        connection = http.client.HTTPConnection('127.0.0.1', self.control_port)
        try:
            connection.request('POST', '/', json.dumps(command))
            body = connection.getresponse().read()
        finally:
            connection.close()
        found: dict[str, Any] = json.loads(body)
        return found

    def runs(self) -> list[tuple[int, str, str]]:
        """Return the runs so far: monotonic ms, request and searcher."""
        path = self.folder / 'runs.log'
        if not path.exists():
            return []
        found = []
        for line in path.read_text().splitlines():
            at_ms, request_id, searcher, event = line.split(' ')
            if event == 'ran':
                found.append((int(at_ms), request_id, searcher))
        return found

    def stop(self) -> None:
        """End all processes, and record what ran.

        With the variable KEEP, the folder with the logs stays.
        """
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        for at_ms, request_id, searcher in self.runs():
            at_s = at_ms / 1_000 - self.started_s
            self.record(
                'ran', at_s=round(at_s, 3), id=request_id, searcher=searcher
            )
        self.record_file.close()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder)
