"""Makes a node that was frozen suspect itself instead of other members."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import constants
from gypsumbridge_decisions.membership import state as states

SOURCE = 'membership'


def check_gap(
    state: states.MembershipState, now_ms: int
) -> list[command.Command]:
    """Start self-suspicion after a gap between this node's own timers.

    This runs before each message is handled, so that an acknowledgement
    from before the gap does not count.
    """
    last_ms = state.last_tick_ms
    if last_ms is None or now_ms - last_ms < constants.FROZEN_GAP_MS:
        return []
    state.last_tick_ms = now_ms
    if not state.records:
        # Without other members, none can have taken over ownership.
        return []
    state.self_suspected = True
    state.self_suspected_sequence = state.sequence
    state.pending = None
    # During the gap, this node was the unresponsive one.
    state.suspects = dict.fromkeys(state.suspects, now_ms)
    fields = {'gap_ms': now_ms - last_ms}
    return [
        messages.Decision('suspect_self', 'frozen', fields),
        make_condition(state, now_ms),
    ]


def record_acknowledgement(
    state: states.MembershipState, sequence: int, now_ms: int
) -> list[command.Command]:
    """Clear self-suspicion once a probe sent after the gap is answered."""
    if not state.self_suspected or sequence <= state.self_suspected_sequence:
        return []
    state.self_suspected = False
    return [
        messages.Decision('clear_self_suspicion', 'acknowledged', {}),
        make_condition(state, now_ms),
    ]


def make_condition(
    state: states.MembershipState, now_ms: int
) -> messages.ServingCondition:
    """Return whether the node may serve.

    The condition expires when the node would count as frozen.
    """
    if state.self_suspected or not (state.host_list_received or state.records):
        return messages.ServingCondition(
            SOURCE, messages.MissingReason.NODE_SUSPECT
        )
    last_ms = now_ms if state.last_tick_ms is None else state.last_tick_ms
    return messages.ServingCondition(
        SOURCE,
        messages.MissingReason.NONE,
        last_ms + constants.FROZEN_GAP_MS,
    )
