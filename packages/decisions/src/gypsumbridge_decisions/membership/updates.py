"""Applies updates on members and selects those to disseminate."""

import dataclasses
import heapq
import math

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import constants
from gypsumbridge_decisions.membership import state as states

_PRECEDENCE = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.LEAVING: 1,
    messages.MemberState.SUSPECT: 2,
    messages.MemberState.DEAD: 3,
}


def apply_update(
    state: states.MembershipState, update: messages.Member, now_ms: int
) -> list[command.Command]:
    """Apply an update on a member if it supersedes the stored one."""
    if update.node_id == state.own.node_id:
        return refute(state, update)
    stored = state.records.get(update.node_id)
    if stored is None:
        # An unknown member was removed after its death, so this is old.
        if update.state == messages.MemberState.DEAD:
            return []
    elif not supersedes(update, stored.member):
        return []
    return accept_update(state, update, now_ms)


def supersedes(update: messages.Member, stored: messages.Member) -> bool:
    """Return whether an update supersedes the stored one.

    A higher incarnation wins; within one, the state of higher precedence.
    """
    if update.incarnation != stored.incarnation:
        return update.incarnation > stored.incarnation
    return _PRECEDENCE[update.state] > _PRECEDENCE[stored.state]


def accept_update(
    state: states.MembershipState, update: messages.Member, now_ms: int
) -> list[command.Command]:
    """Store an update and queue it for dissemination."""
    stored = state.records.get(update.node_id)
    state.store(update, now_ms)
    state.transmit_counts[update.node_id] = 0
    state.suspects.pop(update.node_id, None)
    if update.state == messages.MemberState.SUSPECT:
        state.suspects[update.node_id] = now_ms
    if stored is not None and stored.member.state == update.state:
        return []
    fields: dict[str, str | int | float] = {
        'member': update.node_id,
        'incarnation': update.incarnation,
    }
    return [messages.Decision('member_state', str(update.state), fields)]


def refute(
    state: states.MembershipState, update: messages.Member
) -> list[command.Command]:
    """Refute a wrong or old update on this node with a new incarnation.

    This also lets a restarted node supersede the state of its previous run.
    """
    own = state.own
    if state.left or update.incarnation < own.incarnation or update == own:
        return []
    state.own = dataclasses.replace(own, incarnation=update.incarnation + 1)
    state.transmit_counts[own.node_id] = 0
    fields = {'incarnation': state.own.incarnation}
    return [messages.Decision('refute', str(update.state), fields)]


def select_updates(
    state: states.MembershipState, receiver: messages.Member | None
) -> tuple[messages.Member, ...]:
    """Return the updates for one message, the least sent ones first.

    The stored state of the receiver is included if it differs from what the
    receiver itself reports, so that it can refute at once.
    """
    chosen: list[messages.Member] = []
    if receiver is not None:
        stored = state.records.get(receiver.node_id)
        if stored is not None and _must_inform(stored.member, receiver):
            chosen.append(stored.member)
    limit = retransmissions(state.live_count())
    least_sent = heapq.nsmallest(
        constants.MAX_UPDATES,
        state.transmit_counts,
        key=lambda name: (state.transmit_counts[name], name),
    )
    for node_id in least_sent:
        state.transmit_counts[node_id] += 1
        if state.transmit_counts[node_id] >= limit:
            del state.transmit_counts[node_id]
        if node_id == state.own.node_id:
            # Every message carries its sender.
            continue
        record = state.records.get(node_id)
        if record is not None and record.member not in chosen:
            chosen.append(record.member)
    return tuple(chosen)


def _must_inform(stored: messages.Member, reported: messages.Member) -> bool:
    if stored.incarnation < reported.incarnation:
        return False
    if stored.state in (
        messages.MemberState.SUSPECT,
        messages.MemberState.DEAD,
    ):
        return True
    return stored != reported


def retransmissions(live_count: int) -> int:
    """Return how often an update is sent."""
    return constants.RETRANSMIT_FACTOR * dissemination_rounds(live_count)


def dissemination_rounds(live_count: int) -> int:
    """Return the rounds until an update has reached most of the fleet."""
    return max(math.ceil(math.log2(live_count + 1)), 1)
