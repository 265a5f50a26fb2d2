"""Carries out the commands of a node's control tasks."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import control as controls
from gypsumbridge_standins.replay import replay as replays
from gypsumbridge_standins.replay import store_run
from gypsumbridge_wire import store as store_wire

Put = Callable[[int, Any], None]

CHECK_MS = 2
# These go to other tasks of the same node.
LOCAL = (
    messages.MembersChanged,
    messages.ServingChanged,
    messages.ServingCondition,
    messages.LeavingAnnounced,
    messages.AnnounceLeaving,
    messages.LeaveFleet,
    messages.InFlightReport,
)


def perform(
    replay: replays.Replay,
    node_id: str,
    control: controls.Control,
    command: Any,
    put: Put,
) -> None:
    """Carry out one command; `put` delivers to this run of the node."""
    match command:
        case messages.StoreRequest():
            store_run.call(replay, node_id, command, lambda r: put(0, r))
        case messages.ClaimCall():
            request = store_wire.encode_claim_call(command)
            store_run.call(
                replay,
                node_id,
                request,
                lambda r: put(0, store_wire.decode_claim_reply(r)),
            )
        case configuration.Publish():
            replay.on_publish(node_id, command.revision)
            put(0, publish(control, command))
        case messages.MutationAnswer() | messages.ClaimReport():
            replay.answered(node_id, command)
        case messages.AcceptedReport():
            replay.on_accepted(node_id, command)
        case messages.InFlightQuery():
            waiting = replay.count_open(node_id)
            put(0, messages.InFlightReport('caller_http', waiting))
            put(0, messages.InFlightReport('operator_http', 0))
            put(0, command)
        case messages.EndpointCheck():
            endpoint = replay.endpoints[command.endpoint]
            serving = not (endpoint.down or endpoint.draining)
            health = messages.EndpointHealth(command.endpoint, serving)
            put(CHECK_MS, health)
        case lifecycle.ClosePort():
            control.port_open = False
        case lifecycle.ExitNode():
            replay.on_exit(node_id, command)
        case _ if isinstance(command, LOCAL):
            put(0, command)


def publish(
    control: controls.Control, published: configuration.Publish
) -> messages.CatalogChanged:
    """Decode what changed, as the configuration task does."""
    if published.replace:
        control.declared.clear()
        control.catalog = catalog.empty_catalog()
    changes = []
    for item in published.items:
        after = None
        if item.value is not None:
            after = store_wire.decode_item(item).spec
        before = control.declared.pop(item.key, None)
        if after is not None:
            control.declared[item.key] = after
        changes.append((before, after))
    control.catalog = catalog.update_catalog(
        control.catalog, published.revision, changes
    )
    return messages.CatalogChanged(control.catalog)
