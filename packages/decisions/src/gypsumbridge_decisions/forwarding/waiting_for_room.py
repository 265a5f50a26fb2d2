"""Parts that are queued until a searcher has room."""

from gypsumbridge_decisions.admission import waiting_part
from gypsumbridge_decisions.forwarding import answer_timing
from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import attempt_outcome
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import route_latency
from gypsumbridge_decisions.forwarding import state as states

_OUTCOME = attempt_outcome.AttemptOutcome
# A part that waits for longer than this share of its objective is late. The
# rest is for its run, and for the caller's way back if it is refused.
MAX_WAIT_SHARE = 0.5
# The share of slot time of a customer without a quota, which corresponds to a
# rate of one request per second.
DEFAULT_WEIGHT = 1.0


def wait_for_room(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    is_repeat: bool = False,
) -> None:
    """Queue a part; it is sent before the next message if there is room."""
    request = exchange.request
    window = route_latency.latency_window_for(state, exchange.route)
    part.waiting = waiting_part.WaitingPart(
        request.call_id,
        exchange.rank,
        request.customer,
        weight_of(state, request.customer),
        window.median_ms,
        sum(len(name) + len(value) for name, value in request.headers)
        + len(request.target)
        + len(request.body),
        request.arrived_ms
        + answer_timing.answer_after_ms(state, exchange.route, request)
        * MAX_WAIT_SHARE
        + window.median_ms,
        exchange.expires_ms,
        window.is_measured(),
        excluded_searchers(state, exchange, part),
        is_repeat,
    )
    exchange.open_services.add(part.service)
    state.room.queue_for(part.service).push(part.waiting)
    state.room.record_change(part.service)


def excluded_searchers(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
) -> frozenset[str]:
    """Return the searchers that were tried, and those outside the homes."""
    domains = exchange.domains
    if domains is None:
        return frozenset(part.tried)
    return frozenset(part.tried).union(
        candidate.searcher_id
        for candidate in state.searchers.get(part.service, ())
        if candidate.failure_domain not in domains
    )


def weight_of(state: states.ForwardingState, customer: str) -> float:
    """Return a customer's share of slot time, in proportion to its quota."""
    table = state.table
    if table is None or table.customers is None:
        return DEFAULT_WEIGHT
    found = table.customers.customers.get(customer)
    if found is None or found.rate_per_s <= 0:
        return DEFAULT_WEIGHT
    return found.rate_per_s


def wait_again(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    searcher_id: str,
    ended: attempt_ended.AttemptEnded,
    now_ms: int,
) -> bool:
    """Queue a part whose attempt failed, if it may run once more.

    A searcher that has rejected it may be tried again when it has room.
    """
    if part.waiting is not None or now_ms >= exchange.expires_ms:
        return False
    if part.runs >= exchange.route.max_attempts:
        return False
    if ended.outcome == _OUTCOME.NOT_RUN:
        part.tried.discard(searcher_id)
    # The cause of a lost connection may affect the idle ones, too.
    part.needs_new_connection = ended.outcome == _OUTCOME.LOST
    charged = ended.outcome != _OUTCOME.NOT_SENT
    wait_for_room(state, exchange, part, charged)
    return True


def stop_waiting(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
) -> None:
    """Remove a part from its queue, if it waits."""
    if part.waiting is None:
        return
    part.waiting = None
    state.room.remove(part.service, exchange.request.call_id)
