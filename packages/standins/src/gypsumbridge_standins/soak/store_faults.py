"""Faults of the configuration store and the host list."""

from collections.abc import Callable

from gypsumbridge_standins.soak import soak_state

SLOW_MS = 800
LOST_SHARE = 0.3
HOST_LAG_MS = 8_000
USUAL_LAG_MS = 1_000


def take_out(state: soak_state.SoakState) -> Callable[[], None]:
    """Refuse every call to the store and end the waiting ones."""
    store = state.replay.store
    store.outage = True
    watchers, store.watchers = store.watchers, []
    for _, wake in watchers:
        wake()

    def undo() -> None:
        store.outage = False

    return undo


def slow_down(state: soak_state.SoakState) -> Callable[[], None]:
    """Delay calls so much that some writes land after their timeout."""
    state.replay.store.slow_ms = SLOW_MS

    def undo() -> None:
        state.replay.store.slow_ms = 0

    return undo


def lose_replies(state: soak_state.SoakState) -> Callable[[], None]:
    """Apply writes whose reply is lost."""
    state.replay.store.lost_replies = LOST_SHARE

    def undo() -> None:
        state.replay.store.lost_replies = 0.0

    return undo


def delay_hosts(state: soak_state.SoakState) -> Callable[[], None]:
    """Let the host list lag more than usual."""
    state.replay.hosts.lag_ms = HOST_LAG_MS

    def undo() -> None:
        state.replay.hosts.lag_ms = USUAL_LAG_MS

    return undo
