"""The steps of a graceful stop."""

from gypsumbridge_decisions import messages
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

POLL_MS = 50
# Results and responses that were handed to a socket leave within this.
FLUSH_MS = 200


def request_stop(state: states.LifecycleState) -> list[command.Command]:
    """Start a graceful stop; a second request ends the node at once."""
    if state.phase != phase.Phase.SERVING:
        return end(state, 'second_signal', False)
    state.phase = phase.Phase.LAGGING
    return [
        *serving.update(state),
        messages.EndKeepAlive(),
        messages.Timer(
            state.balancer_lag_ms, balancer_lag_timer.BalancerLagTimer()
        ),
        messages.Timer(state.stop_bound_ms, stop_bound_timer.StopBoundTimer()),
        _log(state),
    ]


def end_lag(state: states.LifecycleState) -> list[command.Command]:
    """Close the port and announce that the node is leaving."""
    if state.phase != phase.Phase.LAGGING:
        return []
    state.phase = phase.Phase.ANNOUNCING
    return [close_port.ClosePort(), messages.AnnounceLeaving(), _log(state)]


def start_draining(state: states.LifecycleState) -> list[command.Command]:
    """Refuse late arrivals and ask for work in flight.

    Ownership has moved by now; a front that has not heard of it sends the
    refused shards to the new owner.
    """
    if state.phase != phase.Phase.ANNOUNCING:
        return []
    state.phase = phase.Phase.DRAINING
    return [*serving.update(state), *ask(state), _log(state)]


def ask(state: states.LifecycleState) -> list[command.Command]:
    """Ask every task for its work in flight."""
    if state.phase != phase.Phase.DRAINING:
        return []
    state.in_flight = {}
    return [messages.InFlightQuery()]


def receive_report(
    state: states.LifecycleState, report: messages.InFlightReport
) -> list[command.Command]:
    """Leave when no task has work in flight, else ask again later."""
    if state.phase != phase.Phase.DRAINING:
        return []
    state.in_flight[report.source] = report.count
    if state.in_flight.keys() < state.sources:
        return []
    if any(state.in_flight.values()):
        return [messages.Timer(POLL_MS, poll_timer.PollTimer())]
    state.phase = phase.Phase.LEAVING
    timer = messages.Timer(FLUSH_MS, flush_timer.FlushTimer())
    return [messages.LeaveFleet(), timer, _log(state)]


def end(
    state: states.LifecycleState, reason: str, clean: bool
) -> list[command.Command]:
    """End the process, once."""
    if state.phase == phase.Phase.STOPPED:
        return []
    state.phase = phase.Phase.STOPPED
    return [exit_node.ExitNode(reason, clean)]


def _log(state: states.LifecycleState) -> messages.Decision:
    return messages.Decision('stop_phase', state.phase.value, {})
