"""Faults of the configuration store and the host list."""

from collections.abc import Callable

from gypsumbridge_standins.soak import soak_state

SLOW_MS = 800
LOST_REPLY_SHARE = 0.3
FAULT_HOST_LAG_MS = 8_000
DEFAULT_HOST_LAG_MS = 1_000


def begin_outage(state: soak_state.SoakState) -> Callable[[], None]:
    """Make the store refuse every call, and end the waiting watches."""
    store = state.replay.store
    store.outage = True
    watchers, store.watchers = store.watchers, []
    for _, finish in watchers:
        finish()

    def undo() -> None:
        store.outage = False

    return undo


def slow_down(state: soak_state.SoakState) -> Callable[[], None]:
    """Delay calls so much that some writes are applied after a timeout."""
    state.replay.store.slow_ms = SLOW_MS

    def undo() -> None:
        state.replay.store.slow_ms = 0

    return undo


def lose_replies(state: soak_state.SoakState) -> Callable[[], None]:
    """Lose the replies of a share of the applied writes."""
    state.replay.store.lost_replies = LOST_REPLY_SHARE

    def undo() -> None:
        state.replay.store.lost_replies = 0.0

    return undo


def delay_hosts(state: soak_state.SoakState) -> Callable[[], None]:
    """Increase the lag of the host list."""
    state.replay.hosts.lag_ms = FAULT_HOST_LAG_MS

    def undo() -> None:
        state.replay.hosts.lag_ms = DEFAULT_HOST_LAG_MS

    return undo
