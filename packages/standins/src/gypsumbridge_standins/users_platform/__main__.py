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
from gypsumbridge_node.gateway import server_factory
from gypsumbridge_platform import platform_adapter
from gypsumbridge_platform import server_body
from gypsumbridge_standins.users_platform import platform_state
from gypsumbridge_standins.users_platform import searcher_site
from gypsumbridge_standins.users_platform import store_site

SCHEMA = platform_adapter.make_adapter().schema
VERSION = 'v1'
SLOTS = 2


def main(plan: dict[str, Any]) -> None:
    """Run the store and searchers of a plan until the process is stopped.

    In the plan, `store` and `control` are ports, `config` is the operator's
    configuration, and `searchers` maps ids to service, port and domain.
    `serves` names the searchers that this process runs, by default all of
    them. The `address` of a searcher, if given, is registered in place of
    its own port, and its `born` as the time of its start. `run_log` is a file
    that gets a line for each run, and for each refusal that states a time.
    """
    from twisted.internet import reactor

    state = platform_state.PlatformState(make_run_log(plan.get('run_log')))
    listen(
        reactor, plan['store'], store_site.make_store_handler(reactor, state)
    )
    listen(reactor, plan['control'], make_control_handler(state, plan))
    write_config(state, plan['config'])
    for searcher_id, searcher in plan['searchers'].items():
        register(state, searcher_id, searcher, 'ready')
        if searcher_id not in plan.get('serves', plan['searchers']):
            continue
        handler = searcher_site.make_searcher_handler(
            reactor, state, searcher_id, searcher['service']
        )
        listen(reactor, searcher['port'], handler)
    reactor.run()


def make_run_log(path: str | None) -> Callable[[str, str, str], None]:
    """Return a function that records runs in a file, if one is named.

    A line holds the monotonic clock in ms, the request's id, the searcher's
    and the kind of the event. It is in the file before the searcher responds,
    so that a kill does not lose it.
    """
    if path is None:
        return lambda request_id, searcher_id, event: None
    opened = open(path, 'a', encoding='utf-8', buffering=1)  # noqa: SIM115

    def on_event(request_id: str, searcher_id: str, event: str) -> None:
        now_ms = time.monotonic_ns() // 1_000_000
        opened.write(f'{now_ms} {request_id} {searcher_id} {event}\n')

    return on_event


def listen(reactor: Any, port: int, on_request: Any) -> None:
    """Listen on loopback and call `on_request` for every request."""
    limits = forwarding.IngressLimits()
    factory = server_factory.make_factory(
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
    searcher: dict[str, Any],
    status: str,
) -> None:
    """Write a searcher's entry."""
    body = server_body.ServerBody(
        searcher['service'],
        searcher.get('address', f'127.0.0.1:{searcher["port"]}'),
        searcher['domain'],
        VERSION,
        SLOTS,
        status,
        warmup_left_ms=0,
        sequence=1,
        born=searcher.get('born', 0),
    )
    text = base64.b64encode(msgspec.json.encode(body)).decode()
    state.write(SCHEMA.searcher_prefix + searcher_id, text)


def make_control_handler(
    state: platform_state.PlatformState, plan: dict[str, Any]
) -> Any:
    """Return a handler that sets faults and reports what has run."""

    def handle(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        command = json.loads(request.body) if request.body else {}
        state.faults.update(command.get('faults', {}))
        state.outage = command.get('outage', state.outage)
        for searcher_id, born in command.get('born', {}).items():
            plan['searchers'][searcher_id]['born'] = born
        for searcher_id, status in command.get('states', {}).items():
            searcher = plan['searchers'][searcher_id]
            register(state, searcher_id, searcher, status)
        for searcher_id in command.get('removed', ()):
            state.write(SCHEMA.searcher_prefix + searcher_id, None)
        for key, text in command.get('raw', {}).items():
            state.write(key, base64.b64encode(text.encode()).decode())
        if command.get('compact'):
            state.compact()
        if 'config' in command:
            write_config(state, command['config'])
        report = {
            'runs': state.runs,
            'calls': state.calls,
            'customer_headers': state.customer_headers,
        }
        connection.respond(200, (), json.dumps(report).encode())

    return handle


if __name__ == '__main__':
    with open(sys.argv[1], encoding='utf-8') as plan_file:
        main(json.load(plan_file))
