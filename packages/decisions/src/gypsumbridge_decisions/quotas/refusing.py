"""Refusals of requests that get no token."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.quotas import admission_result
from gypsumbridge_decisions.quotas import command
from gypsumbridge_decisions.quotas import state as states
from gypsumbridge_decisions.quotas import waiting_request
from gypsumbridge_decisions.routing import rendezvous

# Another node can probably tell whether the quota has room.
OTHER_NODE_MS = 50
# A caller that is told to wait for longer may have no time left to be served.
MAX_SHARE_OF_TIME_LEFT = 1 / 3
# Callers that were refused together come back over this share of the delay.
SPREAD = 0.25

Outcome = admission_result.AdmissionOutcome


def refuse_unknown(
    state: states.QuotaState,
    customer: str,
    request: waiting_request.WaitingRequest,
    reason: str,
    now_ms: int,
) -> list[command.Command]:
    """Refuse a request whose quota may have room."""
    return refuse(
        state,
        customer,
        request,
        (Outcome.UNKNOWN, OTHER_NODE_MS),
        reason,
        now_ms,
    )


def refuse_over_quota(
    state: states.QuotaState,
    customer: str,
    request: waiting_request.WaitingRequest,
    token_ms: int,
    now_ms: int,
) -> list[command.Command]:
    """Refuse a request; the quota has a token again at `token_ms`."""
    position = (
        rendezvous.weight(request.request_id, '') / rendezvous.HASH_RANGE
    )
    delay_ms = max(1, token_ms - now_ms) * (1 + SPREAD * position)
    longest_ms = (request.deadline_ms - now_ms) * MAX_SHARE_OF_TIME_LEFT
    after_ms = max(1, int(min(delay_ms, longest_ms)))
    return refuse(
        state,
        customer,
        request,
        (Outcome.OVER_QUOTA, after_ms),
        'no_tokens',
        now_ms,
    )


def refuse(
    state: states.QuotaState,
    customer: str,
    request: waiting_request.WaitingRequest,
    result: tuple[admission_result.AdmissionOutcome, int],
    reason: str,
    now_ms: int,
) -> list[command.Command]:
    """Return the result of a refused request, its counter and its log line."""
    outcome, after_ms = result
    commands: list[command.Command] = [
        admission_result.AdmissionResult(request.call_id, outcome, after_ms),
        messages.Count(f'quotas.refused.{outcome}'),
    ]
    suppressed = state.refusal_log.admit((customer, reason), now_ms)
    if suppressed is None:
        return commands
    fields: dict[str, str | int | float] = {
        'customer': customer,
        'request_id': request.request_id,
        'outcome': str(outcome),
        'retry_after_ms': after_ms,
        'suppressed': suppressed,
    }
    return [*commands, messages.Decision('quota_refused', reason, fields)]
