"""What must hold when a request leaves for an endpoint."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions.owner import pending_call
from gypsumbridge_decisions.owner import replica_state


def check_dispatch(
    call: pending_call.PendingCall, replica: replica_state.ReplicaState
) -> None:
    """Raise InvariantError if the call must not go to this replica."""
    name = replica.endpoint.name
    problem = ''
    if call.done:
        problem = f'a call that is done would go to {name}'
    elif replica.free_slots() <= 0:
        problem = f'a call would go to {name}, which has no free slot'
    elif replica.leaving_sources:
        problem = f'a call would go to {name}, which is leaving'
    elif call.is_mutation() and call.running:
        problem = f'a mutation that is running would also go to {name}'
    if problem:
        raise errors.InvariantError(problem, 'report it with the decision log')
