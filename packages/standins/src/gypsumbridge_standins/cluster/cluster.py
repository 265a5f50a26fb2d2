"""The processes of one deployment on loopback."""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import log_lines
from gypsumbridge_standins.cluster import node_address

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05


class Cluster:
    """Owns the processes and the folder of their settings and logs."""

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='gypsumbridge-'))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.nodes: dict[str, node_address.NodeAddress] = {}
        self.store = ''
        self.host_list = ''
        self.balancer_lag_ms = 300
        self.controls: list[str] = []

    def spawn(
        self,
        name: str,
        arguments: list[str],
        variables: dict[str, str] | None = None,
    ) -> None:
        """Start a Python module as a process with a log file of its own.

        `variables` are added to the environment.
        """
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **(variables or {})},
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one of the cluster's processes."""
        self.processes[name].send_signal(number)

    def read_decisions(self, name: str) -> list[str]:
        """Return the lines of a node's log as `message reason`."""
        return [
            f'{record["message"]} {record.get("reason", "")}'
            for record in self.read_log(name)
        ]

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the records that a process has logged so far."""
        return log_lines.read_records(self.folder / f'{name}.log')

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a process exits and return its exit status."""
        return self.processes.pop(name).wait(timeout_s)

    def stop(self) -> dict[str, int]:
        """Stop every process, nodes first, and return the exit statuses."""
        statuses = {}
        names = [name for name in self.processes if name in self.nodes]
        for batch in (names, [n for n in self.processes if n not in names]):
            for name in batch:
                self.processes[name].terminate()
            for name in batch:
                process = self.processes[name]
                try:
                    statuses[name] = process.wait(STOP_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    process.kill()
                    statuses[name] = process.wait()
        self.processes.clear()
        return statuses


def wait_until(condition, what: str, timeout_s: float = START_TIMEOUT_S):
    """Poll a condition until it returns a true value, and return that.

    Raises TimeoutError with `what` in its message.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        # Only tests and demos call this, so blocking the thread is fine.
        time.sleep(POLL_S)
    raise TimeoutError(f'timed out waiting until {what}')


def returns_ok(address: str, path: str) -> bool:
    """Return whether an HTTP server responds with status 200."""
    try:
        return json_http.call_json('GET', address, path, None, 2.0)[0] == 200
    except (OSError, ValueError):
        return False
