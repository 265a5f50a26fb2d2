"""Hedges slow calls."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import dispatching
from gypsumbridge_decisions.owner import extra_load_budget
from gypsumbridge_decisions.owner import hedge_timer
from gypsumbridge_decisions.owner import pending_call
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
    if call.is_mutation():
        return []
    set_state = state.sets[call.replica_set]
    replica = replica_choice.choose_replica(set_state, call.tried, 0, now_ms)
    if replica is not None and replica.ejected_until_ms > now_ms:
        # An ejected replica is the last resort for first attempts. A hedge
        # to it would be wasted load.
        return []
    if replica is None and not timer.late:
        return _rearm(call, timer, now_ms)
    service = call.replica_set[0]
    if reply.is_shedding(state, service):
        return [messages.Count('owner.hedges.closed')]
    reserve = 0.0 if timer.late else extra_load_budget.HEDGE_RESERVE_TOKENS
    if not state.budget(service).spend(reserve):
        return [
            messages.Count('owner.hedges.no_budget'),
            *_rearm(call, timer, now_ms),
        ]
    if replica is None:
        # The other replicas have no free slot. The call gets their next one
        # ahead of queued calls; otherwise it would wait for the straggler as
        # long as calls are queued.
        set_state.retries.append(call)
        return [messages.Count('owner.hedges.waiting')]
    commands = dispatching.start_request(
        state, set_state, call, replica, now_ms
    )
    commands.append(messages.Count('owner.hedges'))
    return commands


def _rearm(
    call: pending_call.PendingCall,
    timer: hedge_timer.HedgeTimer,
    now_ms: int,
) -> list[command.Command]:
    """Arm the timer again for when the call has run for twice as long."""
    if timer.late:
        return []
    delay_ms = max(now_ms - call.started_ms, 1)
    late_timer = hedge_timer.HedgeTimer(timer.call_id, late=True)
    return [messages.Timer(delay_ms, late_timer)]
