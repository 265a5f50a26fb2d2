"""Ejects replicas that fail and takes them back."""

from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import replica_state

# One failure may be chance; three in a row without a success are not.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 10_000
# A replica that sheds gets no work for about one service time.
SHED_BACKOFF_MS = 50


def record_success(
    replica: replica_state.ReplicaState, latency_ms: int, now_ms: int
) -> None:
    """Take the replica as healthy and warm."""
    replica.failures = 0
    replica.ejections = 0
    replica.ejected_until_ms = 0
    replica.cold = False
    replica.latency.record(latency_ms, now_ms)


def record_cancelled(
    replica: replica_state.ReplicaState, elapsed_ms: int, now_ms: int
) -> None:
    """Take the time of a cancelled request as a lower bound.

    Without it a straggler whose calls are always won by a hedge would
    never look slow.
    """
    if elapsed_ms > replica.latency.expected_ms(now_ms) > 0:
        replica.latency.record_lower_bound(elapsed_ms, now_ms)


def record_shed(replica: replica_state.ReplicaState, now_ms: int) -> None:
    """Leave a replica alone that says it has too much work."""
    replica.backoff_until_ms = now_ms + SHED_BACKOFF_MS


def record_failure(
    set_state: replica_set_state.ReplicaSetState,
    replica: replica_state.ReplicaState,
    now_ms: int,
) -> bool:
    """Count a failure; eject the replica unless it is the last one.

    Returns True when the replica was ejected by this failure.
    """
    replica.failures += 1
    if replica.failures < FAILURES_TO_EJECT:
        return False
    others = [
        other
        for other in set_state.replicas.values()
        if other is not replica
        and not other.leaving_sources
        and other.ejected_until_ms <= now_ms
    ]
    if not others:
        return False
    duration_ms = FIRST_EJECTION_MS * 2**replica.ejections
    replica.ejected_until_ms = now_ms + min(duration_ms, MAX_EJECTION_MS)
    replica.ejections += 1
    replica.cold = True
    return True
