"""Forwards leaving notices when ownership of a replica set changes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import leaving_notices
from gypsumbridge_decisions.owner import leaving_sources
from gypsumbridge_decisions.owner import state as states


def notify_new_owners(state: states.OwnerState) -> list[command.Command]:
    """Notify new owners and standbys of endpoints that are leaving.

    Only the owner that sent the request sees the leaving flag of a reply.
    Without this, a node that was neither owner nor standby at that time
    would send requests to the endpoint until it gets such a reply itself.
    The flags of the host list and of the operator reach every node.
    """
    commands: list[command.Command] = []
    source = leaving_sources.REPLY_SOURCE
    for endpoint, sources in state.leaving_endpoints.items():
        if source not in sources:
            continue
        notified = state.leaving_notified.get(endpoint, ())
        owners = leaving_notices.find_owners(state, endpoint)
        state.leaving_notified[endpoint] = owners
        # No notice is needed where owner and standby only swapped roles.
        if not set(owners) <= set(notified):
            commands += leaving_notices.notify_owners(
                state, endpoint, source, True
            )
    for endpoint in (
        state.leaving_notified.keys() - state.leaving_endpoints.keys()
    ):
        del state.leaving_notified[endpoint]
    return commands


def apply_members(
    state: states.OwnerState, changed: messages.MembersChanged
) -> list[command.Command]:
    """Update the membership and notify new owners of leaving endpoints."""
    leaving_notices.update_members(state, changed)
    return notify_new_owners(state)
