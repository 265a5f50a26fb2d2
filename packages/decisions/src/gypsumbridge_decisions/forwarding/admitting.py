"""Results of the admission of requests."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import arrival
from gypsumbridge_decisions.forwarding import checked_request
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import delegating
from gypsumbridge_decisions.forwarding import refusing
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.quotas import admission_result

STATUS_OVER_QUOTA = 429

Outcome = admission_result.AdmissionOutcome


def handle_admission(
    state: states.ForwardingState,
    result: admission_result.AdmissionResult,
    now_ms: int,
) -> list[command.Command]:
    """Start or refuse a request that has waited for its admission.

    It keeps the route, the version and the customer that were found when it
    arrived.
    """
    checked = state.waiting.pop(result.call_id, None)
    if checked is None:
        return []
    if result.outcome != Outcome.ADMITTED:
        return refuse_unadmitted(checked, result)
    request = checked.request
    waited = messages.Observe(
        'forwarding.admission', now_ms - request.arrived_ms
    )
    if arrival.expiry_ms(request, checked.route) <= now_ms:
        return [waited, *refusing.refuse(request, 'deadline_passed')]
    started = delegating.start_request(
        state, request, checked.route, checked.version, now_ms
    )
    return [waited, *started]


def refuse_unadmitted(
    checked: checked_request.CheckedRequest,
    result: admission_result.AdmissionResult,
) -> list[command.Command]:
    """Refuse a request over its quota, or whose quota nobody could tell."""
    is_over = result.outcome == Outcome.OVER_QUOTA
    fields: dict[str, str | int] = {
        'customer': checked.request.customer,
        'retry_after_ms': result.retry_after_ms,
    }
    return refusing.refuse(
        checked.request,
        'over_quota' if is_over else 'quota_unknown',
        fields,
        STATUS_OVER_QUOTA if is_over else refusing.STATUS_UNAVAILABLE,
        result.retry_after_ms,
    )
