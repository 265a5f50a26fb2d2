"""Executes the commands of a node's control tasks."""

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

DeliverLater = Callable[[int, Any], None]

HEALTH_CHECK_MS = 2
# Messages to other tasks of the same node.
LOCAL_MESSAGES = (
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
    deliver_later: DeliverLater,
) -> None:
    """Execute a command.

    `deliver_later` delivers a message to the node after a delay in ms,
    unless the node has been restarted meanwhile.
    """
    match command:
        case messages.StoreRequest():
            store_run.call(
                replay, node_id, command, lambda r: deliver_later(0, r)
            )
        case messages.ClaimCall():
            request = store_wire.encode_claim_call(command)
            store_run.call(
                replay,
                node_id,
                request,
                lambda r: deliver_later(0, store_wire.decode_claim_reply(r)),
            )
        case configuration.Publish():
            replay.on_publish(node_id, command.revision)
            deliver_later(0, update_catalog(control, command))
        case messages.MutationAnswer() | messages.ClaimReport():
            replay.on_answer(node_id, command)
        case messages.AcceptedReport():
            replay.on_accepted(node_id, command)
        case messages.InFlightQuery():
            open_requests = replay.count_open_requests(node_id)
            deliver_later(
                0, messages.InFlightReport('caller_http', open_requests)
            )
            deliver_later(0, messages.InFlightReport('operator_http', 0))
            deliver_later(0, command)
        case messages.EndpointCheck():
            endpoint = replay.endpoints[command.endpoint]
            serving = not (endpoint.down or endpoint.draining)
            health = messages.EndpointHealth(command.endpoint, serving)
            deliver_later(HEALTH_CHECK_MS, health)
        case lifecycle.ClosePort():
            control.port_open = False
        case lifecycle.ExitNode():
            replay.on_exit(node_id, command)
        case _ if isinstance(command, LOCAL_MESSAGES):
            deliver_later(0, command)


def update_catalog(
    control: controls.Control, published: configuration.Publish
) -> messages.CatalogChanged:
    """Decode changed resources, as the configuration task does."""
    if published.replace:
        control.declared.clear()
        control.catalog = catalog.empty_catalog()
    changes = []
    for item in published.items:
        new_spec = None
        if item.value is not None:
            new_spec = store_wire.decode_item(item).spec
        old_spec = control.declared.pop(item.key, None)
        if new_spec is not None:
            control.declared[item.key] = new_spec
        changes.append((old_spec, new_spec))
    control.catalog = catalog.update_catalog(
        control.catalog, published.revision, changes
    )
    return messages.CatalogChanged(control.catalog)
