"""Confirmations and ends of delegated gathers."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import acceptance_timer
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import cancel_delegation
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import delegating
from gypsumbridge_decisions.forwarding import delegation as delegations
from gypsumbridge_decisions.forwarding import delegation_accepted
from gypsumbridge_decisions.forwarding import delegation_ended
from gypsumbridge_decisions.forwarding import delegation_sending
from gypsumbridge_decisions.forwarding import final_response
from gypsumbridge_decisions.forwarding import grouping
from gypsumbridge_decisions.forwarding import placed_ending
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.forwarding import statements

# A timer that fires this late shows that this node was delayed. The
# confirmation may have arrived meanwhile.
LATE_TIMER_MS = 5


def handle_acceptance(
    state: states.ForwardingState,
    accepted: delegation_accepted.DelegationAccepted,
) -> list[command.Command]:
    """Record that the coordinator has the request."""
    found = state.delegations.get(accepted.delegation_id)
    if found is not None:
        found.accepted = True
    return []


def handle_acceptance_timer(
    state: states.ForwardingState,
    timer: acceptance_timer.AcceptanceTimer,
    now_ms: int,
) -> list[command.Command]:
    """Give up a gather if its coordinator does not react."""
    found = state.delegations.get(timer.delegation_id)
    if found is None or found.accepted:
        return []
    if now_ms - timer.due_ms >= LATE_TIMER_MS and not found.timer_extended:
        found.timer_extended = True
        wait_ms = delegation_sending.acceptance_ms(found.route)
        again = dataclasses.replace(timer, due_ms=now_ms + wait_ms)
        return [messages.Timer(wait_ms, again)]
    delegation_sending.pop_delegation(state, timer.delegation_id)
    health = delegation_sending.health_of(state, found.coordinator_id)
    health.record_failure(now_ms)
    return [
        cancel_delegation.CancelDelegation(timer.delegation_id, suspect=True),
        delegation_sending.log_lost(found, 'not_accepted'),
        messages.Count('forwarding.delegations_lost.not_accepted'),
        *fail(state, found, now_ms),
    ]


def handle_end(
    state: states.ForwardingState,
    ended: delegation_ended.DelegationEnded,
    now_ms: int,
) -> list[command.Command]:
    """Use a coordinator's response, or gather elsewhere."""
    found = delegation_sending.pop_delegation(state, ended.delegation_id)
    if found is None:
        return []
    health = delegation_sending.health_of(state, found.coordinator_id)
    if ended.response is not None:
        health.record_answer()
        stated = statements.record_relayed(
            state, found, ended.response, now_ms
        )
        if found.services:
            return stated + grouping.merge_group(
                state, found, ended.response, now_ms
            )
        return stated + delegating.relay_response(
            found, ended.response, now_ms
        )
    reason = ended.refusal or ended.failure
    log = delegation_sending.log_lost(found, reason)
    if ended.refusal:
        health.record_refusal(now_ms)
        count = messages.Count(f'forwarding.delegations_refused.{reason}')
    else:
        health.record_failure(now_ms)
        count = messages.Count(f'forwarding.delegations_lost.{reason}')
    if ended.refusal or not ended.sent:
        commands = start_again(state, found, now_ms)
    else:
        commands = fail(state, found, now_ms)
    return [log, count, *commands]


def start_again(
    state: states.ForwardingState,
    found: delegations.Delegation,
    now_ms: int,
) -> list[command.Command]:
    """Gather elsewhere what a coordinator has certainly not begun."""
    if found.services:
        return grouping.send_directly(state, found, now_ms)
    if found.route.gather is None:
        return placed_ending.send_from_here(state, found, now_ms, 0)
    return delegating.start_request(
        state, found.request, found.route, found.version, now_ms
    )


def fail(
    state: states.ForwardingState,
    found: delegations.Delegation,
    now_ms: int,
) -> list[command.Command]:
    """Give up what a lost coordinator may have begun to gather.

    It may still send as many attempts as the route allows, since it does
    not always notice that its caller has given up. A request to one searcher
    is sent from here if the coordinator has not confirmed it.
    """
    if found.services:
        return grouping.drop_group(state, found, now_ms)
    if placed_ending.may_be_repeated(found, now_ms):
        return placed_ending.send_from_here(
            state, found, now_ms, placed_ending.UNCONFIRMED_RUNS
        )
    failed = caller_response.CallerResponse(
        found.request.call_id, final_response.STATUS_BAD_GATEWAY
    )
    return delegating.relay_response(found, failed, now_ms)
