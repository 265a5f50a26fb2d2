"""Invariants of sending a request to an endpoint."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions.owner import pending_call
from gypsumbridge_decisions.owner import replica_state


def check_dispatch(
    call: pending_call.PendingCall, replica: replica_state.ReplicaState
) -> None:
    """Raise InvariantError if the call must not be sent to this replica."""
    name = replica.endpoint.name
    problem = ''
    if call.done:
        problem = f'a completed call would be sent to {name}'
    elif replica.free_slots() <= 0:
        problem = f'a call would be sent to {name}, which has no free slot'
    elif replica.leaving_sources:
        problem = f'a call would be sent to {name}, which is leaving'
    elif call.is_mutation() and call.running:
        problem = f'a running mutation would also be sent to {name}'
    if problem:
        raise errors.InvariantError(problem, 'report it with the decision log')
