"""Dispatches messages to the decisions of the configuration task."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import acceptance
from gypsumbridge_decisions.configuration import acceptance_timeout
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import pulling
from gypsumbridge_decisions.configuration import receiving
from gypsumbridge_decisions.configuration import replying
from gypsumbridge_decisions.configuration import reporting
from gypsumbridge_decisions.configuration import serving
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import store_sync
from gypsumbridge_decisions.configuration import tick as ticks
from gypsumbridge_decisions.configuration import tree

PULL_INTERVAL_MS = 500


def handle(
    state: states.ConfigurationState, message: Any, now_ms: int
) -> list[command.Command]:
    """Handle a message and return the resulting commands.

    A `Publish` precedes the condition that lets the node accept work with
    that revision.
    """
    commands: list[command.Command] = []
    match message:
        case messages.ConfigPull():
            commands += replying.handle_pull(state, message, now_ms)
        case messages.ConfigState():
            commands += receiving.handle_reply(state, message, now_ms)
        case messages.StoreReply():
            commands += store_sync.receive_store_reply(state, message, now_ms)
        case ticks.Tick():
            commands += run_tick(state, now_ms)
        case messages.MembersChanged():
            commands += apply_members(state, message, now_ms)
        case messages.AwaitAccepted():
            commands += acceptance.await_accepted(state, message, now_ms)
        case messages.ForceQuery():
            commands += acceptance.report_in_force(state, message)
        case acceptance_timeout.AcceptanceTimeout():
            pass
        case _:
            name = type(message).__name__
            raise TypeError(f'unexpected message for configuration: {name}')
    reporting.update_own_domain(state, now_ms)
    commands += acceptance.complete_waits(state, now_ms)
    commands += serving.report_serving(state, now_ms)
    return commands


def run_tick(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """Call the store, pull and schedule the next tick."""
    state.ticks += 1
    reporting.remove_expired_children(state, now_ms)
    return [
        messages.Timer(PULL_INTERVAL_MS, ticks.Tick()),
        *store_sync.call_store(state, now_ms),
        *pulling.pull_all(state, now_ms),
    ]


def apply_members(
    state: states.ConfigurationState,
    changed: messages.MembersChanged,
    now_ms: int,
) -> list[command.Command]:
    """Apply a new view of the fleet; the first one starts pulling at once."""
    first = not state.orders
    orders = tree.domain_orders(changed.members)
    if orders != state.orders:
        state.orders = orders
        state.parent_index = 0
    live = {node_id for order in orders.values() for node_id in order}
    for by_node in (state.pulls, state.stamps, state.children):
        for node_id in [n for n in by_node if n not in live]:
            by_node.pop(node_id)
    for domain in [d for d in state.reports if d not in orders]:
        del state.reports[domain]
    if not first:
        return []
    return [
        *store_sync.call_store(state, now_ms),
        *pulling.pull_all(state, now_ms),
    ]
