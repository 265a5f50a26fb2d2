"""Leases: keys that go when their holder stops keeping them alive."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_standins.store import operations
from gypsumbridge_standins.store import store_state

LEASES = '/v1/leases'


def grant(
    reactor: Any,
    state: store_state.StoreState,
    ttl_ms: int,
    wake: Callable[[], None],
) -> operations.Reply:
    """Create a lease; `wake` is called after its keys have gone."""
    state.last_lease += 1
    lease = state.last_lease

    def lapse() -> None:
        del state.leases[lease]
        for key in state.lease_keys.pop(lease, set()):
            current = state.items.get(key)
            if current is not None:
                operations.write(state, key, None, current[1])
        wake()

    timer = reactor.callLater(ttl_ms / 1000, lapse)
    state.leases[lease] = (timer, ttl_ms)
    return 200, {'lease': lease, 'ttl_ms': ttl_ms}


def keep_alive(state: store_state.StoreState, lease: int) -> operations.Reply:
    """Start the lease's time again; a lapsed lease is not found."""
    found = state.leases.get(lease)
    if found is None:
        return 404, {}
    timer, ttl_ms = found
    timer.reset(ttl_ms / 1000)
    return 200, {'lease': lease, 'ttl_ms': ttl_ms}


def write_bound(
    state: store_state.StoreState,
    key: str,
    value: str | None,
    expected: int,
    lease: int,
) -> operations.Reply:
    """Write a key and bind it to a lease, or to none with lease 0."""
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
