"""Lets a node that was frozen doubt itself before it judges others."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import constants
from gypsumbridge_decisions.membership import state as states

SOURCE = 'membership'


def check_gap(
    state: states.MembershipState, now_ms: int
) -> list[command.Command]:
    """Start to doubt after a gap between this node's own timers.

    Runs before any message is handled, so that an acknowledgement from
    before the gap does not count.
    """
    last_ms = state.last_tick_ms
    if last_ms is None or now_ms - last_ms < constants.FROZEN_GAP_MS:
        return []
    state.last_tick_ms = now_ms
    if not state.records:
        # Nobody else can have taken over the node's work.
        return []
    state.doubting = True
    state.doubt_sequence = state.sequence
    state.pending = None
    # Silence during the gap was this node's own.
    state.suspects = dict.fromkeys(state.suspects, now_ms)
    fields = {'gap_ms': now_ms - last_ms}
    return [
        messages.Decision('suspect_self', 'frozen', fields),
        make_condition(state, now_ms),
    ]


def acknowledge(
    state: states.MembershipState, sequence: int, now_ms: int
) -> list[command.Command]:
    """End the doubt when a member answers a probe sent after the gap."""
    if not state.doubting or sequence <= state.doubt_sequence:
        return []
    state.doubting = False
    return [
        messages.Decision('clear_self_suspicion', 'acknowledged', {}),
        make_condition(state, now_ms),
    ]


def make_condition(
    state: states.MembershipState, now_ms: int
) -> messages.ServingCondition:
    """Return whether the node may serve, valid until it counts as frozen."""
    if state.doubting or not (state.seeded or state.records):
        return messages.ServingCondition(
            SOURCE, messages.MissingReason.NODE_SUSPECT
        )
    last_ms = now_ms if state.last_tick_ms is None else state.last_tick_ms
    return messages.ServingCondition(
        SOURCE,
        messages.MissingReason.NONE,
        last_ms + constants.FROZEN_GAP_MS,
    )
