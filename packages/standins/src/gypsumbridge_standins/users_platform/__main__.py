"""Runs the store and the searchers in one process, with a control port."""

import base64
from collections.abc import Callable
import json
import sys
import time
from typing import Any

import msgspec

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_platform import platform_adapter
from gypsumbridge_platform import server_body
from gypsumbridge_standins.users_platform import platform_state
from gypsumbridge_standins.users_platform import searcher_site
from gypsumbridge_standins.users_platform import store_site

SCHEMA = platform_adapter.make_adapter().schema
SLOTS = 2


def main(plan: dict[str, Any]) -> None:
    """Serve what the plan names until the process is ended.

    `store` and `control` are ports, `config` is the operator's
    configuration, and `searchers` maps ids to service, port and domain.
    `serves` names the searchers that this process runs, by default all of
    them, and `address` in a searcher is the one that is registered when it
    differs from its port's. `run_log` is a file for a line on each run.
    """
    from twisted.internet import reactor

    state = platform_state.PlatformState(make_run_log(plan.get('run_log')))
    listen(
        reactor, plan['store'], store_site.make_store_handler(reactor, state)
    )
    listen(reactor, plan['control'], make_control_handler(state, plan))
    write_config(state, plan['config'])
    for searcher_id, found in plan['searchers'].items():
        register(state, searcher_id, found, 'ready')
        if searcher_id not in plan.get('serves', plan['searchers']):
            continue
        handler = searcher_site.make_searcher_handler(
            reactor, state, searcher_id, found['service']
        )
        listen(reactor, found['port'], handler)
    reactor.run()


def make_run_log(path: str | None) -> Callable[[str, str], None]:
    """Return a function that records runs in a file, if one is named.

    A line holds the steady clock in ms, the request's id and the
    searcher's, and is in the file before the searcher answers, so that it
    outlives a kill.
    """
    if path is None:
        return lambda request_id, searcher_id: None
    opened = open(path, 'a', encoding='utf-8', buffering=1)  # noqa: SIM115

    def on_run(request_id: str, searcher_id: str) -> None:
        now_ms = time.monotonic_ns() // 1_000_000
        opened.write(f'{now_ms} {request_id} {searcher_id}\n')

    return on_run


def listen(reactor: Any, port: int, on_request: Any) -> None:
    """Serve a function on loopback."""
    limits = forwarding.IngressLimits()
    factory = server_connection.make_factory(
        on_request, lambda connection: None, lambda: limits, lambda: False
    )
    reactor.listenTCP(port, factory, interface='127.0.0.1')


def write_config(state: platform_state.PlatformState, config: Any) -> None:
    """Write a version of the operator's configuration."""
    text = base64.b64encode(json.dumps(config).encode()).decode()
    state.write(SCHEMA.routes_key, text)


def register(
    state: platform_state.PlatformState,
    searcher_id: str,
    found: dict[str, Any],
    status: str,
) -> None:
    """Write a searcher's entry."""
    body = server_body.ServerBody(
        found['service'],
        found.get('address', f'127.0.0.1:{found["port"]}'),
        found['domain'],
        SLOTS,
        status,
    )
    text = base64.b64encode(msgspec.json.encode(body)).decode()
    state.write(SCHEMA.searcher_prefix + searcher_id, text)


def make_control_handler(
    state: platform_state.PlatformState, plan: dict[str, Any]
) -> Any:
    """Return a function that orders faults and reports what has run."""

    def handle(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        order = json.loads(request.body) if request.body else {}
        state.faults.update(order.get('faults', {}))
        state.outage = order.get('outage', state.outage)
        for searcher_id, status in order.get('states', {}).items():
            found = plan['searchers'][searcher_id]
            register(state, searcher_id, found, status)
        for searcher_id in order.get('removed', ()):
            state.write(SCHEMA.searcher_prefix + searcher_id, None)
        for key, text in order.get('raw', {}).items():
            state.write(key, base64.b64encode(text.encode()).decode())
        if order.get('compact'):
            state.compact()
        if 'config' in order:
            write_config(state, order['config'])
        seen = {'runs': state.runs, 'calls': state.calls}
        connection.respond(200, (), json.dumps(seen).encode())

    return handle


if __name__ == '__main__':
    with open(sys.argv[1], encoding='utf-8') as plan_file:
        main(json.load(plan_file))
