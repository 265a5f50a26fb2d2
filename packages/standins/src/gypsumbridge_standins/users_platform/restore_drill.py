"""A drill: the store is away for a moment and comes back from a copy."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_standins.users_platform import platform_state
from gypsumbridge_standins.users_platform import store_copy


def take_copy(state: platform_state.PlatformState) -> None:
    """Copy the store, for the next drill."""
    state.copy = store_copy.StoreCopy(state.revision, dict(state.items))


def start_drill(
    reactor: Any,
    state: platform_state.PlatformState,
    away_ms: int,
    rewrite_ms: int,
    write_again: Callable[[], None],
) -> None:
    """Take the store away now, and restore it after `away_ms`.

    The operator and the searchers write their entries again `rewrite_ms`
    after that.
    """
    state.away = True
    state.end_watches()

    def come_back() -> None:
        restore(state)
        reactor.callLater(rewrite_ms / 1_000, write_again)

    reactor.callLater(away_ms / 1_000, come_back)


def restore(state: platform_state.PlatformState) -> None:
    """Come back from the copy, in the next era.

    The revisions after the copy are given out again. The writes that came
    while the store was away follow.
    """
    found = state.copy or store_copy.StoreCopy(1, {})
    state.items = dict(found.items)
    state.revision = found.revision
    state.history = [
        change for change in state.history if change.revision <= found.revision
    ]
    state.oldest_revision = min(state.oldest_revision, found.revision)
    if state.era is not None:
        state.era += 1
    state.away = False
    delayed, state.delayed = state.delayed, []
    for key, value in delayed:
        state.write(key, value)
