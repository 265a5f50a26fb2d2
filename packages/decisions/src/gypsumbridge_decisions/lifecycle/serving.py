"""Decides whether the node accepts new work and is ready."""

from collections.abc import Iterable

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.lifecycle import command
from gypsumbridge_decisions.lifecycle import phase
from gypsumbridge_decisions.lifecycle import state as states

_SERVING_PHASES = (
    phase.Phase.SERVING,
    phase.Phase.LAGGING,
    phase.Phase.ANNOUNCING,
)


def combine_conditions(
    conditions: Iterable[messages.ServingCondition],
) -> messages.ServingChanged:
    """Return the first refusal, or the earliest expiry of all sources."""
    valid_until_ms = messages.NO_EXPIRY_MS
    for condition in conditions:
        if condition.refusal:
            return messages.ServingChanged(condition.refusal)
        valid_until_ms = min(valid_until_ms, condition.valid_until_ms)
    return messages.ServingChanged(messages.MissingReason.NONE, valid_until_ms)


def update_serving(state: states.LifecycleState) -> list[command.Command]:
    """Report whether to accept new work, and update the readiness."""
    changed = combine_conditions(state.conditions.values())
    if state.phase not in _SERVING_PHASES:
        changed = messages.ServingChanged(messages.MissingReason.NODE_DRAINING)
    commands: list[command.Command] = [changed]
    ready = state.phase == phase.Phase.SERVING and not changed.refusal
    if ready != state.ready:
        state.ready = ready
        name = 'node_ready' if ready else 'node_not_ready'
        reason = str(changed.refusal) or state.phase.value
        commands.append(messages.Decision(name, reason, {}))
    return commands
