"""Compare-and-swap, lists and rate limits of the stand-in store."""

from typing import Any

from gypsumbridge_standins.store import store_state

Reply = tuple[int, dict[str, Any]]


def read(state: store_state.StoreState, key: str) -> Reply:
    """Return a key's value."""
    found = state.items.get(key)
    if found is None:
        return 404, {'revision': state.revision, 'items': []}
    item = {'key': key, 'value': found[0], 'revision': found[1]}
    return 200, {'revision': state.revision, 'items': [item]}


def write(
    state: store_state.StoreState, key: str, value: str | None, expected: int
) -> Reply:
    """Write or delete a key whose revision is the expected one."""
    current = state.items.get(key, ('', 0))[1]
    if current != expected:
        return 412, {'revision': current, 'items': []}
    if value is not None and len(value) > store_state.MAX_VALUE_BYTES:
        return 413, {'revision': current, 'items': []}
    state.revision += 1
    if value is None:
        state.items.pop(key, None)
    else:
        state.items[key] = (value, state.revision)
    state.record(key, value)
    return 200, {'revision': state.revision, 'items': []}


def list_prefix(state: store_state.StoreState, prefix: str) -> Reply:
    """Return every key under a prefix."""
    items = [
        {'key': key, 'value': value, 'revision': revision}
        for key, (value, revision) in sorted(state.items.items())
        if key.startswith(prefix)
    ]
    return 200, {'revision': state.revision, 'items': items}


def events_after(
    state: store_state.StoreState, prefix: str, after: int
) -> Reply:
    """Return the events under a prefix after a revision."""
    if after < state.compacted:
        return 410, {'revision': state.revision, 'items': []}
    items = []
    # Newest first, since most watches start near the end of the history.
    for event in reversed(state.events):
        if event['revision'] <= after:
            break
        if event['key'].startswith(prefix):
            items.append(event)
    items.reverse()
    return 200, {'revision': state.revision, 'items': items}


def within_rate(
    state: store_state.StoreState, kind: str, now_s: float
) -> bool:
    """Count a call against its rate of this second."""
    if int(now_s) != state.window_started_s:
        state.window_started_s = int(now_s)
        state.window_calls = {}
    used = state.window_calls.get(kind, 0)
    if used >= state.limits[kind]:
        return False
    state.window_calls[kind] = used + 1
    return True
