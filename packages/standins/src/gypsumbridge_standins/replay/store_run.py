"""Runs calls on the in-memory store."""

from collections.abc import Callable
from typing import Any

import msgspec

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import model_store
from gypsumbridge_standins.replay import replay as replays
from gypsumbridge_standins.store import operations
from gypsumbridge_wire import store as store_wire

Reply = Callable[[messages.StoreReply], None]

NETWORK_MS = 1
# The default of the node's settings.
TIMEOUT_MS = 1_000
OPERATIONS = messages.StoreOperation
WRITES = (OPERATIONS.WRITE, OPERATIONS.DELETE)


def call(
    replay: replays.Replay,
    node_id: str,
    request: messages.StoreRequest,
    reply: Reply,
) -> None:
    """Run a call; `reply` is called once, with a result or a timeout."""
    store = replay.store
    finished = False

    def finish(result: messages.StoreReply) -> None:
        nonlocal finished
        if not finished:
            finished = True
            reply(result)

    def time_out() -> None:
        status = messages.StoreStatus.UNAVAILABLE
        if request.operation in WRITES:
            status = messages.StoreStatus.UNKNOWN
        finish(messages.StoreReply(request.token, status))

    def send_reply(answer: operations.Reply) -> None:
        if node_id in store.cut_nodes:
            return
        code, body = answer
        encoded = msgspec.json.encode(body)
        result = store_wire.decode_reply(request.token, code, encoded)
        replay.scheduler.after(delay_ms(replay), lambda: finish(result))

    def handle_arrival() -> None:
        if store.outage:
            send_reply((503, {}))
        elif node_id not in store.cut_nodes:
            serve(replay, request, send_reply)

    replay.scheduler.after(delay_ms(replay), handle_arrival)
    replay.scheduler.after(TIMEOUT_MS + request.wait_ms, time_out)


def delay_ms(replay: replays.Replay) -> int:
    """Return a random one-way latency to or from the store."""
    slow_ms = replay.store.slow_ms
    return NETWORK_MS + (replay.random.randrange(slow_ms) if slow_ms else 0)


def serve(
    replay: replays.Replay,
    request: messages.StoreRequest,
    send_reply: Callable[[operations.Reply], None],
) -> None:
    """Apply a request that has arrived."""
    store = replay.store
    state = store.state
    if request.operation in WRITES:
        value = request.value
        if request.operation == OPERATIONS.DELETE:
            written = write(store, request.key, None, request)
        else:
            written = write(store, request.key, value, request)
        if replay.random.random() >= store.lost_replies:
            send_reply(written)
    elif request.operation == OPERATIONS.READ:
        send_reply(operations.read(state, request.key))
    elif request.operation == OPERATIONS.LIST:
        send_reply(operations.list_prefix(state, request.key))
    elif request.operation == OPERATIONS.WATCH:
        watch(replay, request, send_reply)
    else:
        send_reply((200, {'revision': state.revision, 'items': []}))


def write(
    store: model_store.ModelStore,
    key: str,
    value: str | None,
    request: messages.StoreRequest,
) -> operations.Reply:
    """Compare and swap, then finish the watches of the key."""
    written = operations.write(
        store.state, key, value, request.expected_revision
    )
    if written[0] != 200:
        return written
    due_watchers = [w for w in store.watchers if key.startswith(w[0].key)]
    for watcher in due_watchers:
        store.watchers.remove(watcher)
        watcher[1]()
    return written


def watch(
    replay: replays.Replay,
    request: messages.StoreRequest,
    send_reply: Callable[[operations.Reply], None],
) -> None:
    """Reply with events now, once there are some, or after `wait_ms`."""
    store = replay.store

    def events() -> tuple[int, dict[str, Any]]:
        return operations.events_after(
            store.state, request.key, request.after_revision
        )

    current_events = events()
    if (
        current_events[0] != 200
        or current_events[1]['items']
        or not request.wait_ms
    ):
        send_reply(current_events)
        return
    watcher: model_store.Watcher = (request, lambda: send_reply(events()))
    store.watchers.append(watcher)

    def expire() -> None:
        if watcher in store.watchers:
            store.watchers.remove(watcher)
            watcher[1]()

    replay.scheduler.after(request.wait_ms, expire)
