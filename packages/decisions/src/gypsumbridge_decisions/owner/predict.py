"""Predicts service time and queueing delay."""

from gypsumbridge_decisions import resources
from gypsumbridge_decisions.owner import replica_choice
from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import state as states


def service_ms(
    set_state: replica_set_state.ReplicaSetState, now_ms: int
) -> float:
    """Return the expected service time on the fastest replica, or 0."""
    estimates_ms = [
        replica.latency.expected_ms(now_ms)
        for replica in set_state.replicas.values()
        if not replica.leaving_sources
    ]
    measured_ms = [value for value in estimates_ms if value > 0]
    return min(measured_ms, default=0.0)


def wait_ms(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    rank: resources.Rank,
    now_ms: int,
) -> float:
    """Return the expected queueing delay of a new call of a rank.

    Calls of more urgent ranks are dispatched first, but only up to the
    share that this rank's floor leaves them. Without a floor, all of them
    are dispatched first.
    """
    own_queued = set_state.queue(rank.name).length
    urgent_queued = 0
    for other in state.catalog.ranks_by_urgency:
        if other.urgency >= rank.urgency:
            continue
        urgent_queued += set_state.queue(other.name).length
    free_slots = sum(
        max(r.free_slots(), 0) for r in set_state.replicas.values()
    )
    if own_queued + urgent_queued == 0 and free_slots > 0:
        return 0.0
    calls_ahead = float(own_queued + urgent_queued)
    if rank.floor > 0:
        calls_ahead = min(calls_ahead, own_queued / rank.floor)
    usable = replica_choice.usable_replicas(set_state, (), now_ms)
    slots = sum(replica.endpoint.slots for replica in usable)
    rounds = (calls_ahead + 1) / max(slots, 1)
    return rounds * service_ms(set_state, now_ms)
