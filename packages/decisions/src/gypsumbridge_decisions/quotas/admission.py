"""Arrival and cancellation of requests that need a token."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.quotas import admission_cancelled
from gypsumbridge_decisions.quotas import admission_request
from gypsumbridge_decisions.quotas import admission_result
from gypsumbridge_decisions.quotas import asking
from gypsumbridge_decisions.quotas import command
from gypsumbridge_decisions.quotas import demand as demands
from gypsumbridge_decisions.quotas import refusing
from gypsumbridge_decisions.quotas import state as states
from gypsumbridge_decisions.quotas import waiting_request

# Bounds the memory and the work of one reply while no holder answers.
MAX_WAITING = 1_000


def receive_request(
    state: states.QuotaState,
    message: admission_request.AdmissionRequest,
    now_ms: int,
) -> list[command.Command]:
    """Admit a request with a token in hand, or let it wait for one."""
    customer = message.customer
    request = waiting_request.WaitingRequest(
        message.call_id, message.request_id, now_ms + message.left_ms
    )
    limits = state.limits.get(customer)
    if limits is None:
        if customer in state.quotas:
            return [
                admission_result.AdmissionResult(
                    message.call_id,
                    admission_result.AdmissionOutcome.ADMITTED,
                )
            ]
        return refusing.refuse_unknown(
            state, customer, request, 'unknown_customer', now_ms
        )
    if len(state.waiting) >= MAX_WAITING:
        return refusing.refuse_unknown(
            state, customer, request, 'queue_full', now_ms
        )
    demand = state.demands.get(customer)
    if demand is None:
        demand = demands.Demand(state.order(customer, limits))
        state.demands[customer] = demand
    demand.waiting[message.call_id] = request
    state.waiting[message.call_id] = customer
    return asking.serve(state, customer, now_ms)


def cancel(
    state: states.QuotaState, message: admission_cancelled.AdmissionCancelled
) -> list[command.Command]:
    """Forget a request; tokens that arrive for it serve later ones."""
    customer = state.waiting.pop(message.call_id, None)
    if customer is None:
        return []
    demand = state.demands[customer]
    del demand.waiting[message.call_id]
    if not demand.waiting:
        demand.end_round()
    return [messages.Count('quotas.cancelled')]
