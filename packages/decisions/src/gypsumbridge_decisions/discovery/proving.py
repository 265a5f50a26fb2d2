"""Proof that this node's copy of the store is the newest."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import state as states

# Stands for a copy that was never proven. The clock of the host starts near 0
# when it boots, so 0 would look like a recent proof.
NEVER_MS = -(2**53)


def record_proof(state: states.DiscoveryState, sent_ms: int | None) -> None:
    """Record that a call sent at `sent_ms` proved the copy current.

    The time at which the call was sent is used, since the process may be
    suspended before it handles the response.
    """
    if sent_ms is None:
        return
    if state.proven_ms is None or sent_ms > state.proven_ms:
        state.proven_ms = sent_ms


def report_confirmation(
    state: states.DiscoveryState,
) -> list[command.Command]:
    """Report when the copy was last confirmed, and last proven current."""
    proven_ms = NEVER_MS if state.proven_ms is None else state.proven_ms
    return [forwarding.CopyConfirmed(state.confirmed_ms, proven_ms, state.era)]
