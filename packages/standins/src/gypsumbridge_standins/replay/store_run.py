"""Runs calls on the model store."""

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
    """Run a call; `reply` gets its result or the loss of it, once."""
    store = replay.store
    ended = False

    def end(result: messages.StoreReply) -> None:
        nonlocal ended
        if not ended:
            ended = True
            reply(result)

    def give_up() -> None:
        status = messages.StoreStatus.UNAVAILABLE
        if request.operation in WRITES:
            status = messages.StoreStatus.UNKNOWN
        end(messages.StoreReply(request.token, status))

    def respond(answer: operations.Reply) -> None:
        if node_id in store.cut:
            return
        code, body = answer
        encoded = msgspec.json.encode(body)
        result = store_wire.decode_reply(request.token, code, encoded)
        replay.scheduler.after(delay_ms(replay), lambda: end(result))

    def arrive() -> None:
        if store.outage:
            respond((503, {}))
        elif node_id not in store.cut:
            serve(replay, request, respond)

    replay.scheduler.after(delay_ms(replay), arrive)
    replay.scheduler.after(TIMEOUT_MS + request.wait_ms, give_up)


def delay_ms(replay: replays.Replay) -> int:
    """Draw the time of one way to or from the store."""
    slow_ms = replay.store.slow_ms
    return NETWORK_MS + (replay.random.randrange(slow_ms) if slow_ms else 0)


def serve(
    replay: replays.Replay,
    request: messages.StoreRequest,
    respond: Callable[[operations.Reply], None],
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
            respond(written)
    elif request.operation == OPERATIONS.READ:
        respond(operations.read(state, request.key))
    elif request.operation == OPERATIONS.LIST:
        respond(operations.list_prefix(state, request.key))
    elif request.operation == OPERATIONS.WATCH:
        watch(replay, request, respond)
    else:
        respond((200, {'revision': state.revision, 'items': []}))


def write(
    store: model_store.ModelStore,
    key: str,
    value: str | None,
    request: messages.StoreRequest,
) -> operations.Reply:
    """Compare and swap, then wake the watches of the key."""
    written = operations.write(
        store.state, key, value, request.expected_revision
    )
    if written[0] != 200:
        return written
    woken = [w for w in store.watchers if key.startswith(w[0].key)]
    for watcher in woken:
        store.watchers.remove(watcher)
        watcher[1]()
    return written


def watch(
    replay: replays.Replay,
    request: messages.StoreRequest,
    respond: Callable[[operations.Reply], None],
) -> None:
    """Answer with events now, when there are some, or at the end."""
    store = replay.store

    def events() -> tuple[int, dict[str, Any]]:
        return operations.events_after(
            store.state, request.key, request.after_revision
        )

    found = events()
    if found[0] != 200 or found[1]['items'] or not request.wait_ms:
        respond(found)
        return
    watcher: model_store.Watcher = (request, lambda: respond(events()))
    store.watchers.append(watcher)

    def expire() -> None:
        if watcher in store.watchers:
            store.watchers.remove(watcher)
            watcher[1]()

    replay.scheduler.after(request.wait_ms, expire)
