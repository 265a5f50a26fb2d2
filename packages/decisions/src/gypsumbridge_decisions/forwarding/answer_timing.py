"""The time at which a gather is answered without its missing parts."""

from gypsumbridge_decisions.forwarding import answer_delay
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import state as states

# Assumed time from an objective timer to the response on the socket, until
# responses of the route have been measured.
ANSWER_MARGIN_MS = 3
# Time to read the request, and for the caller to read the response.
READ_MARGIN_MS = 2
# Added to `ANSWER_MARGIN_MS` for each part that is merged.
PART_MARGIN_MS = 0.06
# If the network takes more than this share of the objective, the response is
# late at the caller.
MAX_NETWORK_SHARE = 0.4
# Limits the share of the objective that is subtracted for this node's delays.
MAX_OWN_SHARE = 0.3


def answer_after_ms(
    state: states.ForwardingState,
    route: routes.Route,
    request: caller_request.CallerRequest,
) -> int:
    """Return the time after arrival at which a partial response is sent.

    The objective counts from the first packet that the caller sends to the
    last one that it receives, so the time on the network and in this node's
    queues is subtracted.
    """
    network_ms = min(
        request.network_ms, route.objective_ms * MAX_NETWORK_SHARE
    )
    own_ms = own_delay_ms(state, route)
    return max(1, int(route.objective_ms - network_ms - own_ms))


def own_delay_ms(state: states.ForwardingState, route: routes.Route) -> float:
    """Return how long this node delays a request and its response.

    Arriving requests are delayed as much as this node's timers.
    """
    own_ms = READ_MARGIN_MS + state.timer_lag_ms
    own_ms += answer_delay_for(state, route).upper_ms()
    return min(own_ms, route.objective_ms * MAX_OWN_SHARE)


def answer_delay_for(
    state: states.ForwardingState, route: routes.Route
) -> answer_delay.AnswerDelay:
    """Return the answer delay of a route, created on first use."""
    found = state.answer_delays.get(route.name)
    if found is None:
        estimate_ms = ANSWER_MARGIN_MS + PART_MARGIN_MS * len(route.targets)
        found = answer_delay.AnswerDelay(estimate_ms)
        state.answer_delays[route.name] = found
    return found
