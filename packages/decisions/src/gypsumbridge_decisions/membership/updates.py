"""News about members: what replaces what, and what is passed on."""

import dataclasses
import heapq
import math

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import constants
from gypsumbridge_decisions.membership import state as states

_STRENGTH = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.LEAVING: 1,
    messages.MemberState.SUSPECT: 2,
    messages.MemberState.DEAD: 3,
}


def learn(
    state: states.MembershipState, update: messages.Member, now_ms: int
) -> list[command.Command]:
    """Take news about a member if it is newer than what is known."""
    if update.node_id == state.own.node_id:
        return refute(state, update)
    known = state.records.get(update.node_id)
    if known is None:
        # Nothing is remembered of a forgotten member, so its death is old.
        if update.state == messages.MemberState.DEAD:
            return []
    elif not supersedes(update, known.member):
        return []
    return accept(state, update, now_ms)


def supersedes(update: messages.Member, known: messages.Member) -> bool:
    """Say whether an update is newer than what is known of its member.

    A higher incarnation wins; within one, the worse news wins.
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _STRENGTH[update.state] > _STRENGTH[known.state]


def accept(
    state: states.MembershipState, update: messages.Member, now_ms: int
) -> list[command.Command]:
    """Store an update and pass it on."""
    known = state.records.get(update.node_id)
    state.store(update, now_ms)
    state.unsent[update.node_id] = 0
    state.suspects.pop(update.node_id, None)
    if update.state == messages.MemberState.SUSPECT:
        state.suspects[update.node_id] = now_ms
    if known is not None and known.member.state == update.state:
        return []
    fields: dict[str, str | int | float] = {
        'member': update.node_id,
        'incarnation': update.incarnation,
    }
    return [messages.Decision('member_state', str(update.state), fields)]


def refute(
    state: states.MembershipState, update: messages.Member
) -> list[command.Command]:
    """Answer wrong or older news about this node with a new incarnation.

    It also lets a restarted node overtake what is remembered of it.
    """
    own = state.own
    if state.left or update.incarnation < own.incarnation or update == own:
        return []
    state.own = dataclasses.replace(own, incarnation=update.incarnation + 1)
    state.unsent[own.node_id] = 0
    fields = {'incarnation': state.own.incarnation}
    return [messages.Decision('refute', str(update.state), fields)]


def take_updates(
    state: states.MembershipState, receiver: messages.Member | None
) -> tuple[messages.Member, ...]:
    """Return the updates for one message, least sent first.

    The receiver is also told what is believed of it when that differs
    from what it says, so that it can refute at once.
    """
    chosen: list[messages.Member] = []
    if receiver is not None:
        known = state.records.get(receiver.node_id)
        if known is not None and _must_tell(known.member, receiver):
            chosen.append(known.member)
    limit = retransmissions(state.live_count())
    least_sent = heapq.nsmallest(
        constants.MAX_UPDATES, state.unsent, key=lambda i: (state.unsent[i], i)
    )
    for node_id in least_sent:
        state.unsent[node_id] += 1
        if state.unsent[node_id] >= limit:
            del state.unsent[node_id]
        if node_id == state.own.node_id:
            # Every message carries its sender anyway.
            continue
        record = state.records.get(node_id)
        if record is not None and record.member not in chosen:
            chosen.append(record.member)
    return tuple(chosen)


def _must_tell(known: messages.Member, claimed: messages.Member) -> bool:
    if known.incarnation < claimed.incarnation:
        return False
    if known.state in (
        messages.MemberState.SUSPECT,
        messages.MemberState.DEAD,
    ):
        return True
    return known != claimed


def retransmissions(live_count: int) -> int:
    """Return how often an update is sent before it is dropped."""
    return constants.RETRANSMIT_FACTOR * spread_rounds(live_count)


def spread_rounds(live_count: int) -> int:
    """Return the rounds after which news has reached most of the fleet."""
    return max(math.ceil(math.log2(live_count + 1)), 1)
