"""The steps of a graceful stop."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.lifecycle import answer_bound_timer
from gypsumbridge_decisions.lifecycle import balancer_lag_timer
from gypsumbridge_decisions.lifecycle import close_port
from gypsumbridge_decisions.lifecycle import command
from gypsumbridge_decisions.lifecycle import exit_node
from gypsumbridge_decisions.lifecycle import flush_timer
from gypsumbridge_decisions.lifecycle import phase
from gypsumbridge_decisions.lifecycle import poll_timer
from gypsumbridge_decisions.lifecycle import serving
from gypsumbridge_decisions.lifecycle import state as states
from gypsumbridge_decisions.lifecycle import stop_bound_timer

POLL_INTERVAL_MS = 50
# Time for sending results and responses that were passed to a socket.
FLUSH_TIMEOUT_MS = 200


def request_stop(state: states.LifecycleState) -> list[command.Command]:
    """Start a graceful stop; a second request exits the process at once."""
    if state.phase != phase.Phase.SERVING:
        return [
            *end_requests(state),
            *stop_process(state, 'second_signal', False),
        ]
    answer_bound_ms = max(0, state.stop_bound_ms - FLUSH_TIMEOUT_MS)
    state.phase = phase.Phase.LAGGING
    return [
        *serving.update_serving(state),
        messages.EndKeepAlive(),
        messages.Timer(
            state.balancer_lag_ms, balancer_lag_timer.BalancerLagTimer()
        ),
        messages.Timer(answer_bound_ms, answer_bound_timer.AnswerBoundTimer()),
        messages.Timer(state.stop_bound_ms, stop_bound_timer.StopBoundTimer()),
        _log_phase(state),
    ]


def start_announcing(state: states.LifecycleState) -> list[command.Command]:
    """Close the port and announce that the node is leaving."""
    if state.phase != phase.Phase.LAGGING:
        return []
    state.phase = phase.Phase.ANNOUNCING
    return [
        close_port.ClosePort(),
        messages.AnnounceLeaving(),
        _log_phase(state),
    ]


def start_draining(state: states.LifecycleState) -> list[command.Command]:
    """Refuse late arrivals and poll for work in flight.

    Ownership has moved by now. A front that has not received that update
    retries the refused shards at the new owner.
    """
    if state.phase != phase.Phase.ANNOUNCING:
        return []
    state.phase = phase.Phase.DRAINING
    return [
        *serving.update_serving(state),
        *poll_in_flight(state),
        _log_phase(state),
    ]


def poll_in_flight(state: states.LifecycleState) -> list[command.Command]:
    """Poll all tasks for their work in flight."""
    if state.phase != phase.Phase.DRAINING:
        return []
    state.in_flight = {}
    return [messages.InFlightQuery()]


def receive_report(
    state: states.LifecycleState, report: messages.InFlightReport
) -> list[command.Command]:
    """Leave once no task has work in flight; otherwise poll again later."""
    if state.phase != phase.Phase.DRAINING:
        return []
    state.in_flight[report.source] = report.count
    if state.in_flight.keys() < state.sources:
        return []
    if any(state.in_flight.values()):
        return [messages.Timer(POLL_INTERVAL_MS, poll_timer.PollTimer())]
    state.phase = phase.Phase.LEAVING
    timer = messages.Timer(FLUSH_TIMEOUT_MS, flush_timer.FlushTimer())
    return [messages.LeaveFleet(), timer, _log_phase(state)]


def end_requests(state: states.LifecycleState) -> list[command.Command]:
    """Have all requests in flight answered, unless the node is stopped."""
    if state.phase == phase.Phase.STOPPED:
        return []
    return [messages.EndRequests()]


def stop_process(
    state: states.LifecycleState, reason: str, clean: bool
) -> list[command.Command]:
    """Exit the process, at most once."""
    if state.phase == phase.Phase.STOPPED:
        return []
    state.phase = phase.Phase.STOPPED
    return [exit_node.ExitNode(reason, clean)]


def _log_phase(state: states.LifecycleState) -> messages.Decision:
    return messages.Decision('stop_phase', state.phase.value, {})
