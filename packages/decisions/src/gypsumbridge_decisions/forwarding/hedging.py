"""Hedges of requests that take longer than usual."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import hedge_timer
from gypsumbridge_decisions.forwarding import latency_window
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import sending
from gypsumbridge_decisions.forwarding import state as states

# A hedge is sent when this many usual hedge latencies are left, so that it
# arrives in time even if it is slower than most.
LATENCIES_LEFT = 2.0
# Where the objective leaves less room, a hedge waits until most attempts of
# the route have been answered.
MIN_DELAY_MS = 5
# A hedge is not sent over a connection that nothing has used for this long.
# What silenced the connection of the first attempt may have silenced it,
# too, and a route often allows no third attempt.
MAX_IDLE_HEDGE_MS = 5_000
# The latency that is assumed before any is measured, as a share of the
# objective.
ASSUMED_LATENCY_SHARE = 0.45


def latencies_of(
    state: states.ForwardingState, route: routes.Route
) -> latency_window.LatencyWindow:
    """Return the latencies of a route's attempts, made on first use."""
    found = state.latencies.get(route.name)
    if found is None:
        estimate_ms = route.objective_ms * ASSUMED_LATENCY_SHARE
        found = latency_window.LatencyWindow(max(1.0, estimate_ms))
        state.latencies[route.name] = found
    return found


def hedge_delay_ms(
    state: states.ForwardingState, route: routes.Route, answer_after_ms: int
) -> int:
    """Return when parts that are still out are sent once more.

    Hedges cost the service a part of its shared budget. A route with time
    to spare hedges one attempt in ten, which leaves budget to routes
    without, and to retries; those hedge up to one in four.
    """
    window = latencies_of(state, route)
    latest_ms = answer_after_ms - LATENCIES_LEFT * window.high_ms
    delay_ms = max(window.usual_ms, min(window.high_ms, latest_ms))
    return max(MIN_DELAY_MS, int(delay_ms))


def hedge(
    state: states.ForwardingState, call_id: int, now_ms: int
) -> list[command.Command]:
    """Send every part that is still out to another searcher.

    While most of them are out, this waits once for as long again, but not
    until hedges come too late.
    """
    exchange = state.exchanges.get(call_id)
    if exchange is None:
        return []
    commands: list[command.Command] = []
    # Searchers are slow one by one. Where most parts are out, this node or
    # its link is slow, which hedges would make worse; after a second delay
    # connections may have lost their bytes without being closed.
    most_open = len(exchange.open_services) * 2 > len(exchange.parts)
    if most_open and len(exchange.parts) > 1 and not exchange.hedge_put_off:
        exchange.hedge_put_off = True
        window = latencies_of(state, exchange.route)
        delay_ms = min(
            now_ms - exchange.request.arrived_ms,
            exchange.answer_ms - int(window.median_ms) - now_ms,
        )
        delay_ms = max(MIN_DELAY_MS, delay_ms)
        timer = hedge_timer.HedgeTimer(call_id)
        return [
            messages.Count('forwarding.hedges_put_off'),
            messages.Timer(delay_ms, timer),
        ]
    max_idle_ms = sending.NO_IDLE_MS if most_open else MAX_IDLE_HEDGE_MS
    for part in exchange.parts:
        if not part.is_open():
            continue
        for attempt_id in part.running:
            running = state.attempts[attempt_id]
            if running.overdue:
                continue
            running.overdue = True
            state.health[running.searcher.searcher_id].overdue += 1
        sent = sending.send_extra(
            state, exchange, part, now_ms, max_idle_ms=max_idle_ms
        )
        if not sent:
            commands.append(messages.Count('forwarding.hedges_withheld'))
            continue
        exchange.hedges += 1
        commands += sent
        commands.append(messages.Count('forwarding.hedges'))
    return commands
