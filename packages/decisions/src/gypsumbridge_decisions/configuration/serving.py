"""Reports whether the node's configuration is fresh enough to serve."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import quorum
from gypsumbridge_decisions.configuration import state as states

SOURCE = 'configuration'


def report_serving(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """Report the expiry of the proof of freshness when it changes.

    The expiry in the report makes a paused node refuse work; the refusal
    that follows the expiry only makes the readiness check fail.
    """
    until_ms = quorum.fresh_until_ms(state.core, now_ms)
    if now_ms >= until_ms:
        if state.reported_until_ms is None:
            return []
        state.reported_until_ms = None
        stale = messages.MissingReason.CONFIGURATION_STALE
        return [messages.ServingCondition(SOURCE, stale)]
    if state.reported_until_ms == until_ms:
        return []
    state.reported_until_ms = until_ms
    fresh = messages.MissingReason.NONE
    return [messages.ServingCondition(SOURCE, fresh, until_ms)]
