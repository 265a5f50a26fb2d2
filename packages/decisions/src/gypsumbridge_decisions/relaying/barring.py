"""Peers that could not be used."""

from gypsumbridge_decisions.relaying import relay_state

# A process that ends is back after two to four seconds. Each time in a row
# doubles the time, since a host that is gone for good stays in the store,
# and finding that out again delays the news by a connection's time-out.
FIRST_BAR_MS = 2_000
MAX_BAR_MS = 30_000
SET_ASIDE_MS = 1_000
# Where two nodes have lost the store it is probably down for all. Refused
# calls are paid for, so the others leave it to those two at first; not for
# long, since the store may turn just these away.
OUTAGE_PEERS = 2
OUTAGE_WAIT_MS = 2_000
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
    known = len(state.without_news)
    state.without_news.add(node_id)
    if known < OUTAGE_PEERS <= len(state.without_news):
        state.store_barred_until_ms = now_ms + OUTAGE_WAIT_MS


def bar_store(state: relay_state.RelayState, now_ms: int) -> None:
    """Leave the store to the relays for a while."""
    state.store_barred_until_ms = now_ms + STORE_BAR_MS


def clear(state: relay_state.RelayState, node_id: str) -> None:
    """Forget the failures of a peer that has been used."""
    state.failures.pop(node_id, None)
    state.barred_until_ms.pop(node_id, None)
    clear_outage(state)


def clear_outage(state: relay_state.RelayState) -> None:
    """Note that news arrive, from whatever source."""
    state.without_news.clear()
    state.store_barred_until_ms = 0
