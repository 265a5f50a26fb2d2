"""Runs the configuration task's decision for a message."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import acceptance_timeout
from gypsumbridge_decisions.configuration import asking
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
    """Return the commands that follow from a message.

    A `Publish` comes before the report that makes the node take work
    with it.
    """
    commands: list[command.Command] = []
    match message:
        case messages.ConfigPull():
            commands += replying.answer(state, message, now_ms)
        case messages.ConfigState():
            commands += receiving.receive(state, message, now_ms)
        case messages.StoreReply():
            commands += store_sync.receive_store_reply(state, message, now_ms)
        case ticks.Tick():
            commands += run_tick(state, now_ms)
        case messages.MembersChanged():
            commands += change_members(state, message, now_ms)
        case messages.AwaitAccepted():
            commands += asking.await_accepted(state, message, now_ms)
        case messages.ForceQuery():
            commands += asking.report_force(state, message)
        case acceptance_timeout.AcceptanceTimeout():
            pass
        case _:
            name = type(message).__name__
            raise TypeError(f'the configuration task takes no {name}')
    reporting.update_own_domain(state, now_ms)
    commands += asking.answer_waiting(state, now_ms)
    commands += serving.report_serving(state, now_ms)
    return commands


def run_tick(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """Call the store, pull, and wait for the next tick."""
    state.ticks += 1
    reporting.forget_silent_children(state, now_ms)
    return [
        messages.Timer(PULL_INTERVAL_MS, ticks.Tick()),
        *store_sync.call_store(state, now_ms),
        *pulling.pull_all(state, now_ms),
    ]


def change_members(
    state: states.ConfigurationState,
    changed: messages.MembersChanged,
    now_ms: int,
) -> list[command.Command]:
    """Take over a view of the fleet; a first one starts at once."""
    first = not state.orders
    orders = tree.domain_orders(changed.members)
    if orders != state.orders:
        state.orders = orders
        state.parent_number = 0
    live = {node_id for order in orders.values() for node_id in order}
    for known in (state.pulls, state.stamps, state.children):
        for node_id in [n for n in known if n not in live]:
            known.pop(node_id)
    for domain in [d for d in state.reports if d not in orders]:
        del state.reports[domain]
    if not first:
        return []
    return [
        *store_sync.call_store(state, now_ms),
        *pulling.pull_all(state, now_ms),
    ]
