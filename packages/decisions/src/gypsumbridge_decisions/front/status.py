"""Counts of the front's work for the node's status."""

from gypsumbridge_decisions.front import state as states


def count_queries(state: states.FrontState) -> dict[str, int]:
    """Return the number of running queries."""
    return {'running_queries': len(state.running)}
