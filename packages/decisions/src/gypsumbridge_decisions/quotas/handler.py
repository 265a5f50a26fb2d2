"""Runs the quota decision for a message."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import copy_confirmed
from gypsumbridge_decisions.forwarding import nodes_changed
from gypsumbridge_decisions.quotas import admission
from gypsumbridge_decisions.quotas import admission_cancelled
from gypsumbridge_decisions.quotas import admission_request
from gypsumbridge_decisions.quotas import asking
from gypsumbridge_decisions.quotas import command
from gypsumbridge_decisions.quotas import grant_asked
from gypsumbridge_decisions.quotas import granting
from gypsumbridge_decisions.quotas import holder_answered
from gypsumbridge_decisions.quotas import holder_changes
from gypsumbridge_decisions.quotas import holder_failed
from gypsumbridge_decisions.quotas import holder_written
from gypsumbridge_decisions.quotas import holders_changed
from gypsumbridge_decisions.quotas import quota_changes
from gypsumbridge_decisions.quotas import quota_timer
from gypsumbridge_decisions.quotas import quotas_changed
from gypsumbridge_decisions.quotas import state as states
from gypsumbridge_decisions.quotas import takeover


def handle(
    state: states.QuotaState, message: Any, now_ms: int
) -> list[command.Command]:
    """Return the commands that follow from a message.

    `now_ms` is read from the clock that counts suspended time. The first
    message also sets the timer of the partitions.
    """
    commands = decide(state, message, now_ms)
    if not state.timer_set:
        state.timer_set = True
        timer = quota_timer.QuotaTimer()
        commands.append(messages.Timer(takeover.PROBE_INTERVAL_MS, timer))
    return commands


def decide(
    state: states.QuotaState, message: Any, now_ms: int
) -> list[command.Command]:
    """Return the commands that follow from a message."""
    match message:
        case admission_request.AdmissionRequest():
            return admission.receive_request(state, message, now_ms)
        case admission_cancelled.AdmissionCancelled():
            return admission.cancel(state, message)
        case grant_asked.GrantAsked():
            return granting.receive_ask(state, message, now_ms)
        case holder_answered.HolderAnswered():
            ask = state.asks.pop(message.ask_id, None)
            if ask is None:
                return []
            if not ask.tokens:
                return takeover.handle_probe_reply(
                    state, ask, message.reply, now_ms
                )
            return asking.handle_reply(state, ask, message.reply, now_ms)
        case holder_failed.HolderFailed():
            ask = state.asks.pop(message.ask_id, None)
            if ask is None or not ask.tokens:
                return []
            return asking.handle_failure(state, ask, now_ms)
        case holder_written.HolderWritten():
            return takeover.handle_written(state, message)
        case holders_changed.HoldersChanged():
            return holder_changes.change_holders(state, message, now_ms)
        case copy_confirmed.CopyConfirmed():
            return holder_changes.confirm_copy(state, message, now_ms)
        case quotas_changed.QuotasChanged():
            return quota_changes.change_quotas(state, message, now_ms)
        case nodes_changed.NodesChanged():
            return quota_changes.change_nodes(state, message)
        case quota_timer.QuotaTimer():
            state.timer_set = True
            return takeover.check_partitions(state, now_ms)
        case _:
            raise TypeError(
                f'unexpected message for quotas: {type(message).__name__}'
            )
