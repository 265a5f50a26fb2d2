"""Peers that could not be used."""

from gypsumbridge_decisions.relaying import relay_state

# A process that ends is back after two to four seconds. Each time in a row
# doubles the time, since a host that is gone for good stays in the store,
# and finding that out again delays the news by a connection's time-out.
FIRST_BAR_MS = 2_000
MAX_BAR_MS = 30_000
SET_ASIDE_MS = 1_000
# Refused calls are paid for. The store may turn just the relays away, so the
# others try it as well, but not often.
STORE_BAR_MS = 3_000


def bar(state: relay_state.RelayState, node_id: str, now_ms: int) -> None:
    """Leave a peer out for a while."""
    state.without_news.discard(node_id)
    failures = state.failures.get(node_id, 0)
    state.failures[node_id] = failures + 1
    bar_ms = min(FIRST_BAR_MS << min(failures, 8), MAX_BAR_MS)
    state.barred_until_ms[node_id] = now_ms + bar_ms


def set_aside(
    state: relay_state.RelayState, node_id: str, now_ms: int
) -> None:
    """Leave a peer out for a moment that answers, but has no news."""
    state.barred_until_ms[node_id] = now_ms + SET_ASIDE_MS
    state.without_news.add(node_id)


def bar_store(state: relay_state.RelayState, now_ms: int) -> None:
    """Leave the store alone for a while, since a call of this node failed."""
    state.store_barred_until_ms = now_ms + STORE_BAR_MS
    state.store_answers = False


def clear_store(state: relay_state.RelayState) -> None:
    """Note that the store answered this node."""
    state.store_barred_until_ms = 0
    state.store_answers = True


def clear(state: relay_state.RelayState, node_id: str) -> None:
    """Forget the failures of a peer that has been used."""
    state.failures.pop(node_id, None)
    state.barred_until_ms.pop(node_id, None)
    state.without_news.clear()
    state.store_barred_until_ms = 0
    state.store_answers = False
