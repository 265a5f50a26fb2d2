"""Chooses the endpoint for a call."""

from collections.abc import Iterable

from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import replica_state


def choose_replica(
    set_state: replica_set_state.ReplicaSetState,
    tried: Iterable[str],
    queued: int,
    now_ms: int,
) -> replica_state.ReplicaState | None:
    """Return the replica expected to answer first, or None to wait.

    A replica with a free slot is skipped when another one is expected to
    free a slot and still answer earlier.
    """
    usable = usable_replicas(set_state, tried, now_ms)
    best: replica_state.ReplicaState | None = None
    for replica in usable:
        if replica.free_slots() <= 0:
            continue
        if best is None or _cost(replica, now_ms) < _cost(best, now_ms):
            best = replica
    if best is None:
        return None
    expected_ms = best.latency.expected_ms(now_ms)
    for replica in usable:
        if replica is best or not replica.running:
            continue
        rounds = 1 + (queued + 1) / replica.endpoint.slots
        if replica.latency.expected_ms(now_ms) * rounds < expected_ms:
            return None
    return best


def usable_replicas(
    set_state: replica_set_state.ReplicaSetState,
    tried: Iterable[str],
    now_ms: int,
) -> list[replica_state.ReplicaState]:
    """Return the replicas that may get new work and were not tried.

    Ejected replicas are returned when no other replica is left, so that a
    false ejection never leaves a replica set empty.
    """
    healthy = []
    ejected = []
    for name, replica in set_state.replicas.items():
        if replica.leaving_sources or name in tried:
            continue
        if replica.ejected_until_ms > now_ms:
            ejected.append(replica)
            continue
        if replica.backoff_until_ms > now_ms:
            continue
        healthy.append(replica)
    return healthy or ejected


def _cost(
    replica: replica_state.ReplicaState, now_ms: int
) -> tuple[float, int, str]:
    expected_ms = replica.latency.expected_ms(now_ms)
    load = len(replica.running) + 1
    return (expected_ms * load, load, replica.endpoint.name)
