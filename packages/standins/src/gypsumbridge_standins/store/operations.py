"""Compare-and-swap, lists and rate limits of the stand-in store."""

from typing import Any

from gypsumbridge_standins.store import store_state

Reply = tuple[int, dict[str, Any]]


def read(state: store_state.StoreState, key: str) -> Reply:
    """Return a key's value and revision, or status 404."""
    entry = state.items.get(key)
    if entry is None:
        return 404, {'revision': state.revision, 'items': []}
    item = {'key': key, 'value': entry[0], 'revision': entry[1]}
    return 200, {'revision': state.revision, 'items': [item]}


def write(
    state: store_state.StoreState, key: str, value: str | None, expected: int
) -> Reply:
    """Write a key, or delete it if `value` is None.

    Nothing is written if the key's revision is not the expected one (412)
    or the value is too large (413).
    """
    current_revision = state.items.get(key, ('', 0))[1]
    if current_revision != expected:
        return 412, {'revision': current_revision, 'items': []}
    if value is not None and len(value) > store_state.MAX_VALUE_BYTES:
        return 413, {'revision': current_revision, 'items': []}
    state.revision += 1
    if value is None:
        state.items.pop(key, None)
    else:
        state.items[key] = (value, state.revision)
    state.add_event(key, value)
    return 200, {'revision': state.revision, 'items': []}


def list_prefix(state: store_state.StoreState, prefix: str) -> Reply:
    """Return every key with a prefix, sorted."""
    items = [
        {'key': key, 'value': value, 'revision': revision}
        for key, (value, revision) in sorted(state.items.items())
        if key.startswith(prefix)
    ]
    return 200, {'revision': state.revision, 'items': items}


def events_after(
    state: store_state.StoreState, prefix: str, after: int
) -> Reply:
    """Return the events of a prefix after a revision.

    The status is 410 if the history no longer holds all of them.
    """
    if after < state.compacted_revision:
        return 410, {'revision': state.revision, 'items': []}
    items = []
    # Backwards, since most watches start near the end of the history.
    for event in reversed(state.events):
        if event['revision'] <= after:
            break
        if event['key'].startswith(prefix):
            items.append(event)
    items.reverse()
    return 200, {'revision': state.revision, 'items': items}


def count_within_limit(
    state: store_state.StoreState, kind: str, now_s: float
) -> bool:
    """Count a call, and return whether it is within this second's limit."""
    if int(now_s) != state.window_started_s:
        state.window_started_s = int(now_s)
        state.window_calls = {}
    count = state.window_calls.get(kind, 0)
    if count >= state.limits[kind]:
        return False
    state.window_calls[kind] = count + 1
    return True
