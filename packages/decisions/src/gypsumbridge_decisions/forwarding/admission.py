"""Requests that wait until the quota of their customer admits them."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import arrival
from gypsumbridge_decisions.forwarding import checked_request
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import expiry_timer
from gypsumbridge_decisions.forwarding import refusing
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.quotas import admission_cancelled
from gypsumbridge_decisions.quotas import admission_request


def wait_for_admission(
    state: states.ForwardingState,
    checked: checked_request.CheckedRequest,
    now_ms: int,
) -> list[command.Command]:
    """Ask for the admission of a request, which waits for the result.

    Nothing is sent to a searcher before that, so it can be refused.
    """
    request = checked.request
    state.waiting[request.call_id] = checked
    left_ms = arrival.expiry_ms(request, checked.route) - now_ms
    return [
        admission_request.AdmissionRequest(
            request.call_id, request.request_id, request.customer, left_ms
        ),
        messages.Timer(left_ms, expiry_timer.ExpiryTimer(request.call_id)),
    ]


def refuse_waiting(
    state: states.ForwardingState, call_id: int, reason: str
) -> list[command.Command]:
    """Refuse a request that waits, if it does."""
    checked = state.waiting.pop(call_id, None)
    if checked is None:
        return []
    fields = {'customer': checked.request.customer}
    return [
        admission_cancelled.AdmissionCancelled(call_id),
        *refusing.refuse(checked.request, reason, fields),
    ]


def drop_waiting(
    state: states.ForwardingState, call_id: int
) -> list[command.Command]:
    """Drop a request that waits, if it does, since its caller has left."""
    checked = state.waiting.pop(call_id, None)
    if checked is None:
        return []
    return [
        admission_cancelled.AdmissionCancelled(call_id),
        messages.Decision(
            'caller_gone',
            'closed',
            {
                'request_id': checked.request.request_id,
                'customer': checked.request.customer,
            },
        ),
        messages.Count('forwarding.callers_gone'),
    ]


def end_waiting(state: states.ForwardingState) -> list[command.Command]:
    """Refuse all requests that wait when the node exits."""
    commands: list[command.Command] = []
    for call_id in tuple(state.waiting):
        commands += refuse_waiting(state, call_id, 'draining')
    return commands
