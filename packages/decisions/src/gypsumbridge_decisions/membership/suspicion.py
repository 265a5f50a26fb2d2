"""Suspects unresponsive members and declares them dead."""

import dataclasses
import math

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import constants
from gypsumbridge_decisions.membership import state as states
from gypsumbridge_decisions.membership import updates


def suspicion_timeout_ms(live_count: int) -> int:
    """Return the time that a suspect has to refute, by the fleet size."""
    factor = max(math.log10(live_count), 1.0)
    base_ms = constants.SUSPICION_INTERVALS * constants.PROBE_INTERVAL_MS
    return round(base_ms * factor)


def suspect(
    state: states.MembershipState, node_id: str, now_ms: int
) -> list[command.Command]:
    """Suspect a member whose probe was not acknowledged.

    A leaving member keeps its state, since a suspect may own replica sets
    and a leaving member may not.
    """
    record = state.records.get(node_id)
    if record is None or node_id in state.suspects or record.is_dead():
        return []
    if record.member.state == messages.MemberState.LEAVING:
        state.suspects[node_id] = now_ms
        return []
    update = dataclasses.replace(
        record.member, state=messages.MemberState.SUSPECT
    )
    return updates.accept_update(state, update, now_ms)


def expire_suspicions(
    state: states.MembershipState, now_ms: int
) -> list[command.Command]:
    """Declare dead the suspects whose suspicion has timed out."""
    commands: list[command.Command] = []
    if not state.suspects:
        return commands
    limit_ms = suspicion_timeout_ms(state.live_count())
    for node_id, since_ms in list(state.suspects.items()):
        if now_ms - since_ms < limit_ms:
            continue
        member = state.records[node_id].member
        update = dataclasses.replace(member, state=messages.MemberState.DEAD)
        commands += updates.accept_update(state, update, now_ms)
    return commands


def remove_expired(state: states.MembershipState, now_ms: int) -> None:
    """Remove dead members that are no longer in the host list."""
    for node_id in list(state.dead):
        if node_id in state.listed:
            continue
        updated_ms = state.records[node_id].updated_ms
        if now_ms - updated_ms >= constants.DEAD_MEMBER_RETENTION_MS:
            state.remove_dead(node_id)
