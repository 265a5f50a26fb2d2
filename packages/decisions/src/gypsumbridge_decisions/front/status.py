"""What the front holds, for the node's status."""

from gypsumbridge_decisions.front import state as states


def count_queries(state: states.FrontState) -> dict[str, int]:
    """Return how many queries are running."""
    return {'running_queries': len(state.running)}
