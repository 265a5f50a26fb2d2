"""Final responses to the requests in flight when the node exits."""

from gypsumbridge_decisions.forwarding import admission
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import delegating
from gypsumbridge_decisions.forwarding import finishing
from gypsumbridge_decisions.forwarding import state as states


def end_requests(
    state: states.ForwardingState, now_ms: int
) -> list[command.Command]:
    """Answer all requests with what has been received of their parts.

    A caller whose connection ended without a response would have to wait
    for its own timeout or guess, and could not know whether a request that
    must not be repeated was run.
    """
    commands = admission.end_waiting(state)
    for call_id in tuple(state.exchanges):
        commands += finishing.expire(state, call_id, now_ms)
    for call_id in tuple(state.delegated_calls):
        commands += delegating.expire_delegated(state, call_id, now_ms)
    return commands
