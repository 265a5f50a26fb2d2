"""Lookups of keys, and operators' resolutions of unknown outcomes."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import command
from gypsumbridge_decisions.mutation import pending_lookup
from gypsumbridge_decisions.mutation import state as states

MAX_PENDING_LOOKUPS = 1_000


def start_lookup(
    state: states.MutationState,
    request: messages.MutationLookup | messages.MutationResolve,
) -> list[command.Command]:
    """Read the claim of the key in a lookup or resolve."""
    if len(state.pending_lookups) >= MAX_PENDING_LOOKUPS:
        return [_refuse(request, 'overload', 'too many lookups are pending')]
    state.pending_lookups[request.lookup_id] = pending_lookup.PendingLookup(
        request
    )
    read = messages.ClaimCall(
        request.lookup_id,
        messages.StoreOperation.READ,
        request.idempotency_key,
    )
    return [read]


def receive_reply(
    state: states.MutationState,
    pending: pending_lookup.PendingLookup,
    reply: messages.ClaimReply,
    wall_ms: int,
) -> list[command.Command]:
    """Answer a lookup; validate and write a resolve."""
    request = pending.request
    if pending.resolved_claim is None and isinstance(
        request, messages.MutationResolve
    ):
        if reply.status == messages.StoreStatus.OK and reply.items:
            return _resolve(state, request, reply.items[0], wall_ms)
    del state.pending_lookups[request.lookup_id]
    if reply.status == messages.StoreStatus.NOT_FOUND:
        return [_refuse(request, 'unknown_key', 'no claim is recorded')]
    if reply.status == messages.StoreStatus.CONFLICT:
        return [_refuse(request, 'conflict', 'the claim has just changed')]
    if reply.status != messages.StoreStatus.OK:
        return [
            _refuse(request, 'store_unavailable', 'the store did not answer')
        ]
    found = pending.resolved_claim or reply.items[0].claim
    return [_report(request, found)]


def _resolve(
    state: states.MutationState,
    request: messages.MutationResolve,
    found: messages.ClaimItem,
    wall_ms: int,
) -> list[command.Command]:
    """Write the operator's outcome to a claim whose claimant cannot send.

    The claimant does not send after `send_before_ms` on its own clock, so
    the largest clock skew is added to it.
    """
    claim = found.claim
    if claim.phase != messages.ClaimPhase.CLAIMED:
        del state.pending_lookups[request.lookup_id]
        if claim.outcome == request.outcome:
            return [_report(request, claim)]
        return [
            _refuse(request, 'conflict', f'the claim is already {claim.phase}')
        ]
    if wall_ms <= claim.send_before_ms + state.limits.clock_skew_ms:
        del state.pending_lookups[request.lookup_id]
        return [
            _refuse(
                request,
                'claim_in_use',
                'its claimant may still send the mutation',
            )
        ]
    resolved = dataclasses.replace(
        claim,
        phase=messages.ClaimPhase.RESOLVED,
        outcome=request.outcome,
        operator=request.operator,
    )
    state.pending_lookups[request.lookup_id] = pending_lookup.PendingLookup(
        request, resolved
    )
    write = messages.ClaimCall(
        request.lookup_id,
        messages.StoreOperation.WRITE,
        request.idempotency_key,
        resolved,
        found.revision,
    )
    decision = messages.Decision(
        'resolve_claim',
        str(request.outcome),
        {'key': request.idempotency_key, 'operator': request.operator},
    )
    return [write, decision]


def _report(
    request: messages.MutationLookup | messages.MutationResolve,
    claim: messages.Claim,
) -> messages.ClaimReport:
    return messages.ClaimReport(
        request.lookup_id, request.idempotency_key, claim
    )


def _refuse(
    request: messages.MutationLookup | messages.MutationResolve,
    code: str,
    message: str,
) -> messages.Refusal:
    return messages.Refusal(
        query_id=request.lookup_id,
        request_id='',
        code=code,
        run_state=messages.RunState.OUTCOME_UNKNOWN,
        message=f'key {request.idempotency_key!r}: {message}',
        remedy='look the key up again later',
        idempotency_key=request.idempotency_key,
    )
