"""Requests to one searcher that their coordinator did not complete."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import arrival
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import delegation as delegations
from gypsumbridge_decisions.forwarding import state as states

# A coordinator that was frozen reads a request together with the end of its
# connection, and cancels it after the first attempt at most. It would run it
# more often only if the link was cut just before its confirmation, since the
# node closes the connection long before a hedge is due.
UNCONFIRMED_RUNS = 1


def may_be_repeated(found: delegations.Delegation, now_ms: int) -> bool:
    """Return whether a run is left after the loss of a coordinator.

    One that has confirmed a request may use all that the route allows.
    """
    if found.route.gather is not None or found.accepted:
        return False
    return now_ms < found.expires_ms


def send_from_here(
    state: states.ForwardingState,
    found: delegations.Delegation,
    now_ms: int,
    runs: int,
) -> list[command.Command]:
    """Send a request after `runs` that the coordinator may have begun."""
    return [
        messages.Count('forwarding.placed_again'),
        *arrival.start_exchange(
            state,
            found.request,
            found.route,
            found.version,
            now_ms,
            runs=runs,
        ),
    ]
