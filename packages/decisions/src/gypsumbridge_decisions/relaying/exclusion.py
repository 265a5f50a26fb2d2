"""Temporary exclusion of peers and of the store as update sources."""

from gypsumbridge_decisions.relaying import relay_state

# A process that ends is restarted within two to four seconds. Each
# consecutive failure doubles the exclusion: the entry of a host that was
# removed for good stays in the store, and each poll of it delays updates by a
# connection timeout.
FIRST_EXCLUSION_MS = 2_000
MAX_EXCLUSION_MS = 30_000
OUTDATED_EXCLUSION_MS = 1_000
# Refused calls are billed. The store may refuse only the relays, so the other
# nodes try it as well, but at this interval.
STORE_EXCLUSION_MS = 3_000


def exclude_failed_peer(
    state: relay_state.RelayState, node_id: str, now_ms: int
) -> None:
    """Exclude a peer whose poll failed, longer after each failure in a row."""
    state.outdated_peers.discard(node_id)
    failures = state.failures.get(node_id, 0)
    state.failures[node_id] = failures + 1
    exclusion_ms = min(
        FIRST_EXCLUSION_MS << min(failures, 8), MAX_EXCLUSION_MS
    )
    state.excluded_until_ms[node_id] = now_ms + exclusion_ms


def exclude_outdated_peer(
    state: relay_state.RelayState, node_id: str, now_ms: int
) -> None:
    """Exclude a peer that answers but is not up to date with the store."""
    state.excluded_until_ms[node_id] = now_ms + OUTDATED_EXCLUSION_MS
    state.outdated_peers.add(node_id)


def exclude_peer_behind(
    state: relay_state.RelayState, node_id: str, now_ms: int
) -> None:
    """Exclude a peer that knows only an older era of the store.

    This says nothing of whether the store can be reached.
    """
    state.excluded_until_ms[node_id] = now_ms + OUTDATED_EXCLUSION_MS


def exclude_store(state: relay_state.RelayState, now_ms: int) -> None:
    """Exclude the store after a failed call of this node."""
    state.store_excluded_until_ms = now_ms + STORE_EXCLUSION_MS
    state.store_answered = False


def readmit_store(state: relay_state.RelayState) -> None:
    """End the store's exclusion after it answered this node."""
    state.store_excluded_until_ms = 0
    state.store_answered = True


def readmit_peer(state: relay_state.RelayState, node_id: str) -> None:
    """Reset the exclusions of a peer that is up to date, and of the store."""
    state.failures.pop(node_id, None)
    state.excluded_until_ms.pop(node_id, None)
    state.outdated_peers.clear()
    state.store_excluded_until_ms = 0
    state.store_answered = False
