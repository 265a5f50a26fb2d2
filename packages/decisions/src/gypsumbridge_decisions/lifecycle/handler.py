"""Dispatches messages to the decisions of the lifecycle task."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.lifecycle import answer_bound_timer
from gypsumbridge_decisions.lifecycle import balancer_lag_timer
from gypsumbridge_decisions.lifecycle import command
from gypsumbridge_decisions.lifecycle import flush_timer
from gypsumbridge_decisions.lifecycle import poll_timer
from gypsumbridge_decisions.lifecycle import serving
from gypsumbridge_decisions.lifecycle import state as states
from gypsumbridge_decisions.lifecycle import stop_bound_timer
from gypsumbridge_decisions.lifecycle import stop_requested
from gypsumbridge_decisions.lifecycle import stopping


def handle(
    state: states.LifecycleState, message: Any, now_ms: int
) -> list[command.Command]:
    """Handle a message and return the resulting commands."""
    match message:
        case messages.ServingCondition():
            state.conditions[message.source] = message
            return serving.update_serving(state)
        case stop_requested.StopRequested():
            return stopping.request_stop(state)
        case balancer_lag_timer.BalancerLagTimer():
            return stopping.start_announcing(state)
        case messages.LeavingAnnounced():
            return stopping.start_draining(state)
        case poll_timer.PollTimer():
            return stopping.poll_in_flight(state)
        case messages.InFlightReport():
            return stopping.receive_report(state, message)
        case flush_timer.FlushTimer():
            return stopping.stop_process(state, 'drained', True)
        case answer_bound_timer.AnswerBoundTimer():
            return stopping.end_requests(state)
        case stop_bound_timer.StopBoundTimer():
            return stopping.stop_process(state, 'stop_bound', False)
        case _:
            raise TypeError(
                f'unexpected message for lifecycle: {type(message).__name__}'
            )
