"""Handles the cancellations and liveness checks of fronts."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import state as states


def cancel_batch(
    state: states.OwnerState, cancel: messages.CancelBatch
) -> list[command.Command]:
    """Remove the queued calls of a batch and cancel its running requests.

    A slot stays in use until the endpoint task reports the end of the
    request, so a cancellation never overcommits an endpoint.
    """
    key = (cancel.sender, cancel.query_id, cancel.attempt)
    calls = state.batches.pop(key, None)
    if calls is None:
        return []
    commands: list[command.Command] = []
    for call in calls.values():
        call.done = True
        if call.queued:
            state.sets[call.replica_set].queue(call.rank).remove(call)
        for call_id, endpoint in call.running.items():
            commands.append(messages.EndpointCancel(call_id, endpoint))
    commands.append(messages.Count('owner.cancelled', len(calls)))
    return commands


def answer_check(
    state: states.OwnerState, check: messages.OwnerCheck
) -> list[command.Command]:
    """Return the reply to a front's liveness check."""
    alive = messages.OwnerAlive(state.node_id)
    return [messages.ToPeer(check.sender, alive)]
