"""Runs the forwarding decision for a message."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import acceptance_timer
from gypsumbridge_decisions.forwarding import admission
from gypsumbridge_decisions.forwarding import admitting
from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import caller_disconnected
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import coordinating
from gypsumbridge_decisions.forwarding import copy_confirmed
from gypsumbridge_decisions.forwarding import delegated_request
from gypsumbridge_decisions.forwarding import delegating
from gypsumbridge_decisions.forwarding import delegation_accepted
from gypsumbridge_decisions.forwarding import delegation_ended
from gypsumbridge_decisions.forwarding import delegation_ending
from gypsumbridge_decisions.forwarding import discovery_updates
from gypsumbridge_decisions.forwarding import ending
from gypsumbridge_decisions.forwarding import evacuation_changed
from gypsumbridge_decisions.forwarding import expiry_timer
from gypsumbridge_decisions.forwarding import finishing
from gypsumbridge_decisions.forwarding import fleet_size_changed
from gypsumbridge_decisions.forwarding import hedge_timer
from gypsumbridge_decisions.forwarding import hedging
from gypsumbridge_decisions.forwarding import hold_changed
from gypsumbridge_decisions.forwarding import nodes_changed
from gypsumbridge_decisions.forwarding import objective_timer
from gypsumbridge_decisions.forwarding import response_written
from gypsumbridge_decisions.forwarding import room_dispatch
from gypsumbridge_decisions.forwarding import room_timer
from gypsumbridge_decisions.forwarding import routes_changed
from gypsumbridge_decisions.forwarding import searchers_changed
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.forwarding import stop_accepting
from gypsumbridge_decisions.forwarding import stopping
from gypsumbridge_decisions.quotas import admission_result


def handle(
    state: states.ForwardingState,
    message: Any,
    now_ms: int,
    boot_ms: int | None = None,
) -> list[command.Command]:
    """Return the commands that follow from a message.

    `boot_ms` is the time on the clock that counts suspended time. Without
    it, the host is taken to be never suspended.
    """
    if boot_ms is None:
        boot_ms = now_ms
    commands = decide(state, message, now_ms, boot_ms)
    if state.room.changed:
        commands = [*commands, *room_dispatch.dispatch(state, now_ms)]
    return commands


def decide(
    state: states.ForwardingState, message: Any, now_ms: int, boot_ms: int
) -> list[command.Command]:
    """Return the commands of a message, without those of queued parts."""
    match message:
        case caller_request.CallerRequest():
            return delegating.receive(state, message, now_ms, boot_ms)
        case admission_result.AdmissionResult():
            return admitting.handle_admission(state, message, now_ms)
        case attempt_ended.AttemptEnded():
            return ending.handle_attempt_end(state, message, now_ms)
        case hedge_timer.HedgeTimer():
            return hedging.hedge(state, message.call_id, now_ms)
        case objective_timer.ObjectiveTimer():
            return finishing.handle_objective_timer(state, message, now_ms)
        case expiry_timer.ExpiryTimer():
            return [
                *admission.refuse_waiting(
                    state, message.call_id, 'deadline_passed'
                ),
                *finishing.expire(state, message.call_id, now_ms),
                *delegating.expire_delegated(state, message.call_id, now_ms),
            ]
        case caller_disconnected.CallerDisconnected():
            return [
                *admission.drop_waiting(state, message.call_id),
                *finishing.handle_disconnect(state, message.call_id, now_ms),
                *delegating.cancel_delegated(state, message.call_id),
            ]
        case delegated_request.DelegatedRequest():
            return coordinating.receive_delegated(state, message, now_ms)
        case delegation_accepted.DelegationAccepted():
            return delegation_ending.handle_acceptance(state, message)
        case acceptance_timer.AcceptanceTimer():
            return delegation_ending.handle_acceptance_timer(
                state, message, now_ms
            )
        case delegation_ended.DelegationEnded():
            return delegation_ending.handle_end(state, message, now_ms)
        case room_timer.RoomTimer():
            return room_dispatch.handle_room_timer(state, message, now_ms)
        case response_written.ResponseWritten():
            return finishing.record_answer_delay(state, message)
        case searchers_changed.SearchersChanged():
            return discovery_updates.change_searchers(state, message, now_ms)
        case routes_changed.RoutesChanged():
            return discovery_updates.change_routes(state, message)
        case evacuation_changed.EvacuationChanged():
            return discovery_updates.change_evacuation(state, message, now_ms)
        case hold_changed.HoldChanged():
            return discovery_updates.change_hold(state, message)
        case fleet_size_changed.FleetSizeChanged():
            return discovery_updates.change_fleet_size(state, message)
        case nodes_changed.NodesChanged():
            return discovery_updates.change_nodes(state, message)
        case copy_confirmed.CopyConfirmed():
            state.freshness.record_confirmation(message, now_ms, boot_ms)
            return []
        case stop_accepting.StopAccepting():
            state.draining = True
            return []
        case messages.EndRequests():
            return stopping.end_requests(state, now_ms)
        case _:
            raise TypeError(
                f'unexpected message for forwarding: {type(message).__name__}'
            )
