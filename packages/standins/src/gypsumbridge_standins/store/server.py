"""HTTP server of the stand-in store."""

import json
from typing import Any
import urllib.parse

from twisted.web import server

from gypsumbridge_standins import serve
from gypsumbridge_standins.store import leases
from gypsumbridge_standins.store import operations
from gypsumbridge_standins.store import store_state

KEYS = '/v1/keys/'


def start_store(
    reactor: Any,
    port: int,
    reads_per_second: int = 2_000,
    writes_per_second: int = 400,
) -> Any:
    """Listen on loopback; `POST /control` sets faults.

    Its body may set `outage`, `slow_ms` and `lose_replies`; `GET /control`
    returns the counts of calls and waiting watches.
    """
    state = store_state.StoreState(reads_per_second, writes_per_second)

    def handle(request: Any) -> Any:
        path = request.path.decode()
        if path == '/control':
            return handle_control(state, request)
        kind = 'read' if request.method == b'GET' else 'write'
        state.calls[kind] = state.calls.get(kind, 0) + 1
        if state.outage:
            return serve.encode_json_reply(request, 503, {})
        if not operations.count_within_limit(state, kind, reactor.seconds()):
            return serve.encode_json_reply(request, 429, {})
        if path == '/v1/watch':
            return watch(reactor, state, request)
        if path.startswith(leases.LEASES):
            status, body = run_lease_call(reactor, state, request, path)
        else:
            status, body = run_call(state, request, path)
        if kind == 'write' and status == 200:
            notify_watchers(state)
            if state.lose_replies > 0:
                state.lose_replies -= 1
                request.transport.abortConnection()
                return server.NOT_DONE_YET
        return reply_after_delay(reactor, state, request, status, body)

    return serve.listen(reactor, port, handle)


def run_call(
    state: store_state.StoreState, request: Any, path: str
) -> operations.Reply:
    """Run a call other than a watch or one on a lease."""
    if path == '/v1/list':
        prefix = serve.query_argument(request, 'prefix')
        return operations.list_prefix(state, prefix)
    if path == '/v1/revision':
        return 200, {'revision': state.revision, 'items': []}
    if not path.startswith(KEYS):
        return 400, {}
    key = urllib.parse.unquote(path.removeprefix(KEYS))
    if request.method == b'GET':
        return operations.read(state, key)
    expected = int(serve.query_argument(request, 'if_revision', '0'))
    value = None
    if request.method == b'PUT':
        value = request.content.read().decode()
    lease = int(serve.query_argument(request, 'lease', '0'))
    return leases.write_with_lease(state, key, value, expected, lease)


def run_lease_call(
    reactor: Any, state: store_state.StoreState, request: Any, path: str
) -> operations.Reply:
    """Create a lease (`POST /v1/leases?ttl_ms=`) or renew one
    (`POST /v1/leases/<lease>`).
    """
    name = path.removeprefix(leases.LEASES).strip('/')
    if name:
        return leases.keep_alive(state, int(name))
    ttl_ms = int(serve.query_argument(request, 'ttl_ms', '0'))
    return leases.grant(reactor, state, ttl_ms, lambda: notify_watchers(state))


def watch(reactor: Any, state: store_state.StoreState, request: Any) -> Any:
    """Reply with events, as soon as there are some or the wait is over."""
    prefix = serve.query_argument(request, 'prefix')
    after = int(serve.query_argument(request, 'after', '0'))
    wait_s = int(serve.query_argument(request, 'wait_ms', '0')) / 1000
    status, body = operations.events_after(state, prefix, after)
    if status != 200 or body['items'] or wait_s <= 0:
        return reply_after_delay(reactor, state, request, status, body)
    finished = [False]

    def finish() -> None:
        if finished[0]:
            return
        finished[0] = True
        state.watchers.remove(finish_if_events)
        if timer.active():
            timer.cancel()
        status, body = operations.events_after(state, prefix, after)
        request.write(serve.encode_json_reply(request, status, body))
        request.finish()

    def finish_if_events() -> None:
        status, body = operations.events_after(state, prefix, after)
        if status != 200 or body['items']:
            finish()

    def cancel_watch(_: Any) -> None:
        if finished[0]:
            return
        finished[0] = True
        state.watchers.remove(finish_if_events)
        timer.cancel()

    timer = reactor.callLater(wait_s, finish)
    state.watchers.append(finish_if_events)
    request.notifyFinish().addErrback(cancel_watch)
    return server.NOT_DONE_YET


def notify_watchers(state: store_state.StoreState) -> None:
    """Finish every waiting watch that has events."""
    for finish_if_events in list(state.watchers):
        finish_if_events()


def reply_after_delay(
    reactor: Any,
    state: store_state.StoreState,
    request: Any,
    status: int,
    body: dict[str, Any],
) -> Any:
    """Reply after `slow_ms`, or at once if that is 0."""
    content = serve.encode_json_reply(request, status, body)
    if not state.slow_ms:
        return content
    connected = [True]

    def disconnect(_: Any) -> None:
        connected[0] = False

    def finish() -> None:
        if connected[0]:
            request.write(content)
            request.finish()

    request.notifyFinish().addErrback(disconnect)
    reactor.callLater(state.slow_ms / 1000, finish)
    return server.NOT_DONE_YET


def handle_control(state: store_state.StoreState, request: Any) -> bytes:
    """Set faults on a POST, and return the counts."""
    if request.method == b'POST':
        command = json.loads(request.content.read())
        state.outage = command.get('outage', state.outage)
        state.slow_ms = command.get('slow_ms', state.slow_ms)
        state.lose_replies = command.get('lose_replies', state.lose_replies)
    counts = {
        'calls': state.calls,
        'watches': len(state.watchers),
        'revision': state.revision,
    }
    return serve.encode_json_reply(request, 200, counts)
