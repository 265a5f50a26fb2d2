"""Dispatches a message to the front's decision for it."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.front import command
from gypsumbridge_decisions.front import finishing
from gypsumbridge_decisions.front import liveness
from gypsumbridge_decisions.front import liveness_timer
from gypsumbridge_decisions.front import membership_change
from gypsumbridge_decisions.front import merge
from gypsumbridge_decisions.front import plan
from gypsumbridge_decisions.front import query_timer
from gypsumbridge_decisions.front import state as states


def handle(
    state: states.FrontState, message: Any, now_ms: int
) -> list[command.Command]:
    """Update the state for a message and return the resulting commands.

    Both the node's front task and the in-memory replay call this.
    """
    match message:
        case messages.PartBatch():
            return merge.receive_parts(state, message, now_ms)
        case messages.Query():
            return plan.start_query(state, message, now_ms)
        case query_timer.QueryTimer():
            return finishing.handle_query_timer(state, message, now_ms)
        case messages.OwnerAlive():
            return liveness.receive_alive(state, message, now_ms)
        case liveness_timer.LivenessTimer():
            return liveness.check_liveness(state, message, now_ms)
        case messages.QueryGone():
            return finishing.cancel_query(state, message)
        case messages.MembersChanged():
            return membership_change.update_members(state, message, now_ms)
        case messages.InFlightQuery():
            return [messages.InFlightReport('front', len(state.running))]
        case messages.CatalogChanged():
            state.catalog = message.catalog
        case messages.ServingChanged():
            state.serving = message
        case _:
            raise TypeError(
                f'unexpected message for front: {type(message).__name__}'
            )
    return []
