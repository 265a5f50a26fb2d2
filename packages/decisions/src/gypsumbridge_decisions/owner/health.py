"""Tracks the health of replicas and ejects those that fail."""

from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import replica_state

# A single failure may be transient, so a replica is ejected after this many
# without a success in between.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 10_000
# About one service time, for which a replica that sheds gets no work.
SHED_BACKOFF_MS = 50


def record_success(
    replica: replica_state.ReplicaState, latency_ms: int, now_ms: int
) -> None:
    """Mark the replica healthy and warm, and record its latency."""
    replica.failures = 0
    replica.ejections = 0
    replica.ejected_until_ms = 0
    replica.cold = False
    replica.latency.record(latency_ms, now_ms)


def record_cancelled(
    replica: replica_state.ReplicaState, elapsed_ms: int, now_ms: int
) -> None:
    """Record the time of a cancelled request as a lower bound of latency.

    Without it, a straggler whose calls are always completed by a hedge
    would keep a low latency estimate.
    """
    if elapsed_ms > replica.latency.expected_ms(now_ms) > 0:
        replica.latency.record_lower_bound(elapsed_ms, now_ms)


def record_shed(replica: replica_state.ReplicaState, now_ms: int) -> None:
    """Start the backoff of a replica that shed a request."""
    replica.backoff_until_ms = now_ms + SHED_BACKOFF_MS


def record_failure(
    set_state: replica_set_state.ReplicaSetState,
    replica: replica_state.ReplicaState,
    now_ms: int,
) -> bool:
    """Count a failure and eject the replica after too many in a row.

    The last usable replica of a set is not ejected. Returns True if this
    failure ejected the replica.
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
