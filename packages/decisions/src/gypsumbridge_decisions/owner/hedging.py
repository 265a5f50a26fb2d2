"""Hedges a call that runs for long."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import dispatching
from gypsumbridge_decisions.owner import hedge_timer
from gypsumbridge_decisions.owner import replica_choice
from gypsumbridge_decisions.owner import reply
from gypsumbridge_decisions.owner import state as states


def hedge(
    state: states.OwnerState, timer: hedge_timer.HedgeTimer, now_ms: int
) -> list[command.Command]:
    """Send a running call to a second replica that has a free slot."""
    call = state.calls.get(timer.call_id)
    if call is None or call.done or call.is_mutation():
        return []
    if len(call.tried) > 1:
        return []
    set_state = state.sets[call.replica_set]
    replica = replica_choice.choose_replica(set_state, call.tried, 0, now_ms)
    if replica is None:
        return []
    service = call.replica_set[0]
    if reply.is_shedding(state, service):
        return [messages.Count('owner.hedges.closed')]
    if not state.budget(service).spend():
        return [messages.Count('owner.hedges.no_budget')]
    commands = dispatching.start_request(
        state, set_state, call, replica, now_ms
    )
    commands.append(messages.Count('owner.hedges'))
    return commands
