"""Publishes the view of the fleet to other tasks."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import state as states


def publish_changes(
    state: states.MembershipState,
) -> list[messages.MembersChanged]:
    """Return the new view if it differs from the published one."""
    if not state.dirty or not (state.host_list_received or state.records):
        return []
    changed = False
    for node_id in state.dirty:
        member = _published_member(state, node_id)
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


def _published_member(
    state: states.MembershipState, node_id: str
) -> messages.Member | None:
    """Return a member as published to other tasks, or None if it is dead.

    A node that the host list marks as leaving is published as leaving, so
    that it gains no ownership. The incarnation is omitted, so that a new
    one alone does not cause a new view.
    """
    record = state.records.get(node_id)
    if node_id == state.own.node_id:
        member = state.own
    elif record is None or record.is_dead():
        return None
    else:
        member = record.member
    host = state.listed.get(node_id)
    published_state = member.state
    if host is not None and host.leaving:
        published_state = messages.MemberState.LEAVING
    return dataclasses.replace(member, incarnation=0, state=published_state)
