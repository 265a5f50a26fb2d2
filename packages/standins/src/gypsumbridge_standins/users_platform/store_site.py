"""The HTTP calls of the store."""

from typing import Any
import urllib.parse

import msgspec

from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_platform import item as items
from gypsumbridge_platform import range_body
from gypsumbridge_platform import store_calls
from gypsumbridge_platform import watch_body
from gypsumbridge_platform import written_body
from gypsumbridge_standins.users_platform import platform_state

# Small, so that listing a few searchers takes several pages.
PAGE_ITEMS = 5


def make_store_handler(
    reactor: Any, state: platform_state.PlatformState
) -> Any:
    """Return a handler of the store's calls."""

    def handle(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        state.calls += 1
        if state.outage or state.away:
            connection.respond(503, era_headers(state), b'')
            return
        path, _, text = request.target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        if path == store_calls.RANGE_PATH:
            body = list_range(state, query)
            connection.respond(
                200, era_headers(state), msgspec.json.encode(body)
            )
        elif path == store_calls.WATCH_PATH:
            watch(reactor, state, connection, query)
        elif path == store_calls.WRITE_PATH:
            write(state, connection, msgspec.json.decode(request.body))
        else:
            connection.respond(404, era_headers(state), b'')

    return handle


def write(
    state: platform_state.PlatformState,
    connection: server_connection.ServerConnection,
    body: dict[str, Any],
) -> None:
    """Write the keys of a transaction if its preconditions hold.

    The revision of a key that does not exist is 0.
    """
    for condition in body['precondition']:
        current = state.items.get(condition['key'])
        if condition['revision'] != (current.revision if current else 0):
            connection.respond(412, era_headers(state), b'{}')
            return
    for put in body['puts']:
        state.write(put['key'], put['value'])
    for key in body['remove']:
        state.write(key, None)
    written = written_body.WrittenBody(state.revision)
    body_bytes = msgspec.json.encode(written)
    connection.respond(200, era_headers(state), body_bytes)


def era_headers(
    state: platform_state.PlatformState,
) -> tuple[tuple[str, str], ...]:
    """Return the header that states the era, unless it is switched off."""
    if state.era is None:
        return ()
    return ((store_calls.ERA, str(state.era)),)


def list_range(
    state: platform_state.PlatformState, query: dict[str, str]
) -> range_body.RangeBody:
    """Return one page of the keys with a prefix."""
    matching = [
        item
        for key, item in sorted(state.items.items())
        if key.startswith(query.get(store_calls.PREFIX, ''))
        and key > query.get(store_calls.AFTER, '')
    ]
    return range_body.RangeBody(
        matching[:PAGE_ITEMS], len(matching) > PAGE_ITEMS, state.revision
    )


def watch(
    reactor: Any,
    state: platform_state.PlatformState,
    connection: server_connection.ServerConnection,
    query: dict[str, str],
) -> None:
    """Respond with the changes after a revision, once there are any.

    After `wait_ms` the response is empty. A revision that the store does not
    have, or no longer has the changes of, gets 410.
    """
    after = int(query[store_calls.AFTER])
    if after > state.revision:
        connection.respond(410, era_headers(state), b'')
        return
    if after < state.oldest_revision and state.revision > after:
        if state.oldest_revision > 1:
            connection.respond(410, era_headers(state), b'')
            return

    def changes() -> list[items.Item]:
        return [change for change in state.history if change.revision > after]

    def finish_early() -> None:
        if timer.active():
            timer.cancel()
        finish()

    def finish() -> None:
        if finish_early in state.waiting_watches:
            state.waiting_watches.remove(finish_early)
        if state.away:
            connection.respond(503, era_headers(state), b'')
            return
        body = watch_body.WatchBody(changes(), state.revision)
        connection.respond(200, era_headers(state), msgspec.json.encode(body))

    wait_ms = int(query[store_calls.WAIT_MS])
    timer = reactor.callLater(wait_ms / 1000, finish)
    if changes():
        finish_early()
        return
    state.waiting_watches.append(finish_early)
