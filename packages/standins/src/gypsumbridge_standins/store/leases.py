"""Leases, whose keys are deleted when the holder stops renewing them."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_standins.store import operations
from gypsumbridge_standins.store import store_state

LEASES = '/v1/leases'


def grant(
    reactor: Any,
    state: store_state.StoreState,
    ttl_ms: int,
    notify_watchers: Callable[[], None],
) -> operations.Reply:
    """Create a lease; `notify_watchers` is called after it has expired and
    its keys are deleted.
    """
    state.last_lease_id += 1
    lease = state.last_lease_id

    def expire() -> None:
        del state.leases[lease]
        for key in state.lease_keys.pop(lease, set()):
            current = state.items.get(key)
            if current is not None:
                operations.write(state, key, None, current[1])
        notify_watchers()

    timer = reactor.callLater(ttl_ms / 1000, expire)
    state.leases[lease] = (timer, ttl_ms)
    return 200, {'lease': lease, 'ttl_ms': ttl_ms}


def keep_alive(state: store_state.StoreState, lease: int) -> operations.Reply:
    """Renew a lease; an expired lease is not found."""
    entry = state.leases.get(lease)
    if entry is None:
        return 404, {}
    timer, ttl_ms = entry
    timer.reset(ttl_ms / 1000)
    return 200, {'lease': lease, 'ttl_ms': ttl_ms}


def write_with_lease(
    state: store_state.StoreState,
    key: str,
    value: str | None,
    expected: int,
    lease: int,
) -> operations.Reply:
    """Write a key and bind it to a lease; lease 0 binds it to none."""
    if lease and lease not in state.leases:
        return 404, {'revision': state.revision, 'items': []}
    status, body = operations.write(state, key, value, expected)
    if status != 200:
        return status, body
    for keys in state.lease_keys.values():
        keys.discard(key)
    if lease and value is not None:
        state.lease_keys.setdefault(lease, set()).add(key)
    return status, body
