"""The view of the fleet that other tasks get."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import state as states


def publish_changes(
    state: states.MembershipState,
) -> list[messages.MembersChanged]:
    """Return the new view if it differs from the last one."""
    if not state.dirty or not (state.seeded or state.records):
        return []
    changed = False
    for node_id in state.dirty:
        member = _shown(state, node_id)
        if member == state.published_members.get(node_id):
            continue
        changed = True
        if member is None:
            del state.published_members[node_id]
        else:
            state.published_members[node_id] = member
    state.dirty.clear()
    if not changed:
        return []
    view = sorted(state.published_members.values(), key=lambda m: m.node_id)
    return [messages.MembersChanged(tuple(view))]


def _shown(
    state: states.MembershipState, node_id: str
) -> messages.Member | None:
    """Return a member as other tasks see it, or None.

    A node that the host list shows as leaving owns nothing new. A new
    incarnation alone is no change for other tasks, so it is left out.
    """
    record = state.records.get(node_id)
    if node_id == state.own.node_id:
        member = state.own
    elif record is None or record.is_dead():
        return None
    else:
        member = record.member
    host = state.listed.get(node_id)
    shown_state = member.state
    if host is not None and host.leaving:
        shown_state = messages.MemberState.LEAVING
    return dataclasses.replace(member, incarnation=0, state=shown_state)
