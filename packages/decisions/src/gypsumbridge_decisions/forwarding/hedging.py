"""Hedges of requests that take longer than most."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import hedge_timer
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import route_latency
from gypsumbridge_decisions.forwarding import sending
from gypsumbridge_decisions.forwarding import state as states

# A hedge is sent when this many 90th-percentile latencies are left before the
# answer, so that it arrives in time even if it is slow.
HEDGE_LATENCIES = 2.0
# If the objective leaves less time, a hedge still waits until most attempts of
# the route (75th percentile) have been answered, and at least this long.
MIN_DELAY_MS = 5
# A hedge is not sent over a connection that has been idle for this long. The
# fault that made the connection of the first attempt unresponsive may affect
# it, too, and many routes allow no third attempt.
MAX_IDLE_HEDGE_MS = 5_000


def hedge_delay_ms(
    state: states.ForwardingState, route: routes.Route, answer_after_ms: int
) -> int:
    """Return the delay after which parts in flight are hedged.

    Hedges consume the retry budget of the service. A route with enough time
    before its objective hedges one attempt in ten, which leaves budget for
    retries and for routes with less time, which hedge up to one in four.
    """
    window = route_latency.latency_window_for(state, route)
    latest_ms = answer_after_ms - HEDGE_LATENCIES * window.p90_ms
    delay_ms = max(window.p75_ms, min(window.p90_ms, latest_ms))
    return max(MIN_DELAY_MS, int(delay_ms))


def hedge(
    state: states.ForwardingState, call_id: int, now_ms: int
) -> list[command.Command]:
    """Send every part in flight to another searcher.

    If most parts are in flight, the hedges are postponed once by the time
    that has passed, but not so long that they would be too late.
    """
    exchange = state.exchanges.get(call_id)
    if exchange is None:
        return []
    commands: list[command.Command] = []
    # Usually single searchers are slow. When most parts are in flight, this
    # node or its link is slow, which hedges would make worse. After the
    # second delay, the connections may have lost data without being closed.
    direct = [
        part
        for part in exchange.parts
        if not part.delegated and part.may_be_hedged(now_ms)
    ]
    open_count = sum(1 for part in direct if part.is_open())
    most_open = open_count * 2 > len(direct)
    if most_open and len(exchange.parts) > 1 and not exchange.hedge_postponed:
        return postpone(state, exchange, now_ms)
    max_idle_ms = sending.NO_IDLE_MS if most_open else MAX_IDLE_HEDGE_MS
    for part in direct:
        if not part.is_open():
            continue
        for attempt_id in part.running:
            running = state.attempts[attempt_id]
            if running.overdue:
                continue
            running.overdue = True
            state.health[running.searcher.searcher_id].overdue += 1
        sent = sending.send_extra_attempt(
            state, exchange, part, now_ms, max_idle_ms=max_idle_ms
        ) or sending.send_to_only_searcher(state, exchange, part, now_ms)
        if not sent:
            commands.append(messages.Count('forwarding.hedges_withheld'))
            continue
        exchange.hedges += 1
        commands += sent
        commands.append(messages.Count('forwarding.hedges'))
    return commands


def postpone(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    now_ms: int,
) -> list[command.Command]:
    """Set the hedge timer of a request again."""
    exchange.hedge_postponed = True
    window = route_latency.latency_window_for(state, exchange.route)
    delay_ms = min(
        now_ms - exchange.request.arrived_ms,
        exchange.answer_ms - int(window.median_ms) - now_ms,
    )
    delay_ms = max(MIN_DELAY_MS, delay_ms)
    timer = hedge_timer.HedgeTimer(exchange.request.call_id)
    return [
        messages.Count('forwarding.hedges_put_off'),
        messages.Timer(delay_ms, timer),
    ]
