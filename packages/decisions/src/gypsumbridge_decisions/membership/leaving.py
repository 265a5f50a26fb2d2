"""Announces that this node is leaving or has left the fleet."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import constants
from gypsumbridge_decisions.membership import dissemination_timer
from gypsumbridge_decisions.membership import probing
from gypsumbridge_decisions.membership import state as states
from gypsumbridge_decisions.membership import updates


def announce_leaving(state: states.MembershipState) -> list[command.Command]:
    """Notify some members directly; the others get it by gossip."""
    commands = _announce_state(state, messages.MemberState.LEAVING)
    rounds = updates.dissemination_rounds(state.live_count())
    dissemination_ms = rounds * constants.PROBE_INTERVAL_MS
    commands.append(
        messages.Timer(
            dissemination_ms, dissemination_timer.DisseminationTimer()
        )
    )
    return commands


def leave(state: states.MembershipState) -> list[command.Command]:
    """Notify some members that the node has left, then stop sending."""
    commands = _announce_state(state, messages.MemberState.DEAD)
    state.left = True
    return commands


def _announce_state(
    state: states.MembershipState, new_state: messages.MemberState
) -> list[command.Command]:
    state.own = dataclasses.replace(
        state.own, state=new_state, incarnation=state.own.incarnation + 1
    )
    state.dirty.add(state.own.node_id)
    receivers = probing.random_members(state, constants.ANNOUNCE_FANOUT, '')
    return [probing.send_probe(state, member, 0) for member in receivers]
