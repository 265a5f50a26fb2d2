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
from gypsumbridge_standins.users_platform import restore_drill
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
    them. A `spare` searcher is not registered at the start. The `address` of a
    searcher, if given, is registered in place of
    its own port, and its `born` as the time of its start. `run_log` is a file
    that gets a line for each run, and for each refusal that states a time.
    `era` is the store's first era; without it no response states one.
    """
    from twisted.internet import reactor

    state = platform_state.PlatformState(make_run_log(plan.get('run_log')))
    state.era = plan.get('era')
    listen(
        reactor, plan['store'], store_site.make_store_handler(reactor, state)
    )
    listen(
        reactor, plan['control'], make_control_handler(reactor, state, plan)
    )
    write_config(state, plan['config'])
    for searcher_id, searcher in plan['searchers'].items():
        if not searcher.get('spare'):
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
    write_as_operator(state, SCHEMA.routes_key, json.dumps(config))


def write_as_operator(
    state: platform_state.PlatformState, key: str, text: str | None
) -> None:
    """Write or delete an entry of the operator."""
    value = None
    if text is not None:
        value = base64.b64encode(text.encode()).decode()
    state.operator_entries[key] = value
    state.write(key, value)


def register(
    state: platform_state.PlatformState,
    searcher_id: str,
    searcher: dict[str, Any],
    status: str,
) -> None:
    """Write a searcher's entry."""
    state.registered[searcher_id] = status
    sequence = state.sequences.get(searcher_id, 0) + 1
    state.sequences[searcher_id] = sequence
    body = server_body.ServerBody(
        searcher['service'],
        searcher.get('address', f'127.0.0.1:{searcher["port"]}'),
        searcher['domain'],
        VERSION,
        SLOTS,
        status,
        warmup_left_ms=0,
        sequence=sequence,
        born=searcher.get('born', 0),
    )
    text = base64.b64encode(msgspec.json.encode(body)).decode()
    state.write(SCHEMA.searcher_prefix + searcher_id, text)


def write_again(
    state: platform_state.PlatformState, plan: dict[str, Any]
) -> None:
    """Write all entries of the operator and the searchers again."""
    for key, value in state.operator_entries.items():
        state.write(key, value)
    for searcher_id, status in tuple(state.registered.items()):
        register(state, searcher_id, plan['searchers'][searcher_id], status)


def make_control_handler(
    reactor: Any, state: platform_state.PlatformState, plan: dict[str, Any]
) -> Any:
    """Return a handler that sets faults and reports what has run."""

    def handle(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        command = json.loads(request.body) if request.body else {}
        state.faults.update(command.get('faults', {}))
        state.slowness.update(command.get('slowness', {}))
        state.outage = command.get('outage', state.outage)
        for searcher_id, born in command.get('born', {}).items():
            plan['searchers'][searcher_id]['born'] = born
            state.sequences[searcher_id] = 0
        for searcher_id, status in command.get('states', {}).items():
            searcher = plan['searchers'][searcher_id]
            register(state, searcher_id, searcher, status)
        for searcher_id in command.get('removed', ()):
            state.registered.pop(searcher_id, None)
            state.write(SCHEMA.searcher_prefix + searcher_id, None)
        for key, text in command.get('raw', {}).items():
            state.write(key, base64.b64encode(text.encode()).decode())
        for key in command.get('deleted', ()):
            state.write(key, None)
        for key, text in command.get('operator', {}).items():
            write_as_operator(state, key, text)
        if command.get('copy'):
            restore_drill.take_copy(state)
        if 'drill' in command:
            restore_drill.start_drill(
                reactor,
                state,
                **command['drill'],
                write_again=lambda: write_again(state, plan),
            )
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
