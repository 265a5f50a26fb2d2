"""Passes news from replies on when ownership of a replica set moves."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import leaving_marks
from gypsumbridge_decisions.owner import leaving_news
from gypsumbridge_decisions.owner import state as states


def hand_over(state: states.OwnerState) -> list[command.Command]:
    """Tell a new owner or standby of endpoints that are leaving.

    A reply tells only the owner that asked. Without this, an owner that
    was neither owner nor standby at that time sends to the endpoint until
    a reply tells it too. The other two signals reach every node.
    """
    commands: list[command.Command] = []
    source = leaving_marks.REPLY_SOURCE
    for endpoint, sources in state.leaving.items():
        if source not in sources:
            continue
        told = state.leaving_told.get(endpoint, ())
        holders = leaving_news.find_holders(state, endpoint)
        state.leaving_told[endpoint] = holders
        # Owner and standby may also have changed places.
        if not set(holders) <= set(told):
            commands += leaving_news.tell(state, endpoint, source, True)
    for endpoint in state.leaving_told.keys() - state.leaving.keys():
        del state.leaving_told[endpoint]
    return commands


def take_members(
    state: states.OwnerState, changed: messages.MembersChanged
) -> list[command.Command]:
    """Take the new members and pass on what their owners must know."""
    leaving_news.change_members(state, changed)
    return hand_over(state)
