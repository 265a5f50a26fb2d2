"""Counts of the owner's work for the node's status."""

from gypsumbridge_decisions.owner import state as states


def count_calls(state: states.OwnerState) -> dict[str, int]:
    """Return the numbers of batches, calls and slots in use."""
    sets = state.sets.values()
    return {
        'batches': len(state.batches),
        'running_calls': len(state.calls),
        'queued_calls': sum(
            queue.length for found in sets for queue in found.queues.values()
        ),
        'retries_waiting': sum(len(found.retries) for found in sets),
        'slots_in_use': sum(
            len(replica.running)
            for found in sets
            for replica in found.replicas.values()
        ),
    }
