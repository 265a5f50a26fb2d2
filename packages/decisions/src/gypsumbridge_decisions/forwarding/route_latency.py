"""Measured latencies of the attempts of a route."""

from gypsumbridge_decisions.forwarding import latency_window
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import state as states

# The latency assumed before any is measured, as a share of the objective.
ASSUMED_LATENCY_SHARE = 0.45


def latency_window_for(
    state: states.ForwardingState, route: routes.Route
) -> latency_window.LatencyWindow:
    """Return the latency window of a route, created on first use."""
    found = state.latencies.get(route.name)
    if found is None:
        estimate_ms = route.objective_ms * ASSUMED_LATENCY_SHARE
        found = latency_window.LatencyWindow(max(1.0, estimate_ms))
        state.latencies[route.name] = found
    return found
