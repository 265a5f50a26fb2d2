"""Passes news from replies on when ownership of a replica set moves."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import leaving_notices
from gypsumbridge_decisions.owner import leaving_sources
from gypsumbridge_decisions.owner import state as states


def notify_new_owners(state: states.OwnerState) -> list[command.Command]:
    """Tell a new owner or standby of endpoints that are leaving.

    A reply tells only the owner that asked. Without this, an owner that
    was neither owner nor standby at that time sends to the endpoint until
    a reply tells it too. The other two signals reach every node.
    """
    commands: list[command.Command] = []
    source = leaving_sources.REPLY_SOURCE
    for endpoint, sources in state.leaving_sources.items():
        if source not in sources:
            continue
        notified = state.leaving_notified.get(endpoint, ())
        owners = leaving_notices.find_owners(state, endpoint)
        state.leaving_notified[endpoint] = owners
        # Owner and standby may also have changed places.
        if not set(owners) <= set(notified):
            commands += leaving_notices.notify_owners(
                state, endpoint, source, True
            )
    for endpoint in (
        state.leaving_notified.keys() - state.leaving_sources.keys()
    ):
        del state.leaving_notified[endpoint]
    return commands


def apply_members(
    state: states.OwnerState, changed: messages.MembersChanged
) -> list[command.Command]:
    """Take the new members and pass on what their owners must know."""
    leaving_notices.update_members(state, changed)
    return notify_new_owners(state)
