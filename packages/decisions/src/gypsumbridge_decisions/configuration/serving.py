"""Tells the node whether its configuration lets it take work."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import judge
from gypsumbridge_decisions.configuration import state as states

SOURCE = 'configuration'


def report_serving(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """Report the end of the present proof of freshness when it moves.

    The time limit in the report makes a paused node refuse work; the
    refusal after it only makes the readiness check fail.
    """
    until_ms = judge.fresh_until_ms(state.core, now_ms)
    if now_ms >= until_ms:
        if state.serving is None:
            return []
        state.serving = None
        stale = messages.MissingReason.CONFIGURATION_STALE
        return [messages.ServingCondition(SOURCE, stale)]
    if state.serving == until_ms:
        return []
    state.serving = until_ms
    fresh = messages.MissingReason.NONE
    return [messages.ServingCondition(SOURCE, fresh, until_ms)]
