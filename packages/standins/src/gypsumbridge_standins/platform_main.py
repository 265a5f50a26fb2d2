"""Runs the platform's stand-ins, one kind per process."""

import json
import pathlib
import signal
import sys
from typing import Any

import defopt

from gypsumbridge_standins import host_list
from gypsumbridge_standins.searchers import control
from gypsumbridge_standins.searchers import searcher
from gypsumbridge_standins.searchers import searcher_spec
from gypsumbridge_standins.searchers import searcher_state
from gypsumbridge_standins.store import server as store_server


def store(port: int) -> None:
    """Run a configuration store.

    :param port: TCP port on loopback.
    """
    _run(lambda reactor: store_server.start_store(reactor, port))


def hosts(port: int, *, lag_ms: int = 0) -> None:
    """Run a host list.

    :param port: TCP port on loopback.
    :param lag_ms: Time before the list shows a change.
    """
    _run(lambda reactor: host_list.start_host_list(reactor, port, lag_ms))


def searchers(
    specs: pathlib.Path, control_port: int, *, seed: int = 1
) -> None:
    """Run searchers.

    :param specs: JSON file with a list of searcher specs.
    :param control_port: TCP port on loopback to set faults and read counts.
    :param seed: Seed of the service times.
    """
    loaded = [
        searcher_spec.SearcherSpec(**spec)
        for spec in json.loads(specs.read_text())
    ]

    def start(reactor: Any) -> None:
        states = {
            spec.name: searcher_state.SearcherState(spec, seed)
            for spec in loaded
        }
        for state in states.values():
            searcher.start_searcher(reactor, state)
        control.start_control(reactor, control_port, states)

    _run(start)


def _run(start: Any) -> None:
    from twisted.internet import reactor

    start(reactor)
    signal.signal(
        signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop)
    )
    reactor.run(installSignalHandlers=False)


if __name__ == '__main__':
    sys.exit(defopt.run([store, hosts, searchers]))
