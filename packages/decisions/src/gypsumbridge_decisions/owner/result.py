"""Ends calls and reports their results to the nodes that sent them."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import admission
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import pending_call
from gypsumbridge_decisions.owner import state as states


def refuse(
    state: states.OwnerState,
    call: pending_call.PendingCall,
    reason: messages.MissingReason,
) -> list[command.Command]:
    """End a call without a result.

    It is reported as not run unless a request was sent to an endpoint.
    """
    outcome = messages.PartOutcome.NOT_RUN
    if call.tried:
        outcome = messages.PartOutcome.FAILED
    commands = finish(state, call, outcome, reason, b'', '')
    decision = messages.Decision(
        'refuse_call',
        str(reason),
        {
            'query': call.key.request_id,
            'attempt': call.key.attempt,
            'shard': call.key.shard,
            'rank': call.rank,
        },
    )
    commands.append(decision)
    commands.append(messages.Count(f'owner.refused.{reason}'))
    return commands


def finish(
    state: states.OwnerState,
    call: pending_call.PendingCall,
    outcome: messages.PartOutcome,
    reason: messages.MissingReason,
    payload: bytes,
    endpoint: str,
) -> list[command.Command]:
    """End a call and cancel its other requests; no-op if it has ended."""
    if call.done:
        return []
    call.done = True
    commands: list[command.Command] = [
        messages.EndpointCancel(call_id, name)
        for call_id, name in call.running.items()
    ]
    remove_from_batch(state, call)
    if call.is_mutation():
        commands.append(
            _mutation_result(state, call, outcome, reason, payload, endpoint)
        )
        return commands
    part = messages.Part(
        shard=call.key.shard,
        version=call.version,
        outcome=outcome,
        reason=reason,
        payload=payload,
        endpoint=endpoint,
        attempts=len(call.tried),
    )
    commands.append(_part_batch(state, call, part))
    return commands


def remove_from_batch(
    state: states.OwnerState, call: pending_call.PendingCall
) -> None:
    """Remove a call from its batch, and delete the batch once empty."""
    key = (call.key.sender, call.key.request_id, call.key.attempt)
    batch = state.batches.get(key)
    if batch is None:
        return
    batch.pop(call.key.shard, None)
    if not batch:
        del state.batches[key]


def _part_batch(
    state: states.OwnerState,
    call: pending_call.PendingCall,
    part: messages.Part,
) -> messages.ToPeer:
    level = admission.ADMIT_ALL
    set_state = state.sets.get(call.replica_set)
    # No admission state is created for an undeclared rank.
    if set_state is not None and call.rank in set_state.admissions:
        level = set_state.admission(call.rank).level
    levels = (admission.make_level(call.replica_set, call.rank, level),)
    batch = messages.PartBatch(
        sender=state.node_id,
        query_id=call.key.request_id,
        attempt=call.key.attempt,
        parts=(part,),
        levels=levels,
        configuration_revision=state.catalog.revision,
    )
    return messages.ToPeer(call.key.sender, batch)


def _mutation_result(
    state: states.OwnerState,
    call: pending_call.PendingCall,
    outcome: messages.PartOutcome,
    reason: messages.MissingReason,
    payload: bytes,
    endpoint: str,
) -> messages.ToPeer:
    report = messages.MutationResult(
        sender=state.node_id,
        mutation_id=call.key.request_id,
        outcome=outcome,
        reason=reason,
        payload=payload,
        endpoint=endpoint,
    )
    return messages.ToPeer(call.key.sender, report)
