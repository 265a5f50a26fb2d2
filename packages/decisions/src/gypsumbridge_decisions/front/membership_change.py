"""Handles a change of the membership."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.front import command
from gypsumbridge_decisions.front import liveness
from gypsumbridge_decisions.front import state as states


def update_members(
    state: states.FrontState, changed: messages.MembersChanged, now_ms: int
) -> list[command.Command]:
    """Replace the members and resend batches of nodes that were removed."""
    state.ownership.replace_members(changed.members)
    present = {member.node_id for member in changed.members}
    for node_id in state.last_contact_ms.keys() - present:
        del state.last_contact_ms[node_id]
    state.unresponsive &= present
    for node_id in state.check_latency.sent_ms.keys() - present:
        state.check_latency.remove_node(node_id)
    commands: list[command.Command] = []
    for running in list(state.running.values()):
        for batch in list(running.batches.values()):
            if batch.node_id in present or not batch.unreported:
                continue
            shards = sorted(batch.unreported)
            commands += liveness.resend(state, running, batch, shards, now_ms)
    return commands
