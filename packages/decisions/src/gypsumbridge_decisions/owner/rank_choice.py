"""Chooses the rank that gets the next free slot."""

from gypsumbridge_decisions.admission import rank_credits
from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import state as states


def choose_rank(
    state: states.OwnerState, set_state: replica_set_state.ReplicaSetState
) -> str | None:
    """Return the rank to dispatch from, and update the credits.

    The backlogged rank with the largest credit is chosen if that credit is
    at least one dispatch, otherwise the most urgent one.
    """
    backlogged = []
    for rank in state.catalog.ranks_by_urgency:
        queue = set_state.queues.get(rank.name)
        if queue is None or not queue.length:
            set_state.credits.pop(rank.name, None)
            continue
        if _at_slot_limit(state, set_state, rank.name):
            continue
        backlogged.append(rank)
    if not backlogged:
        return None
    floors = {rank.name: rank.floor for rank in backlogged}
    chosen = rank_credits.choose_by_credit(tuple(floors), set_state.credits)
    rank_credits.settle_credits(floors, set_state.credits, chosen)
    return chosen


def _at_slot_limit(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    rank: str,
) -> bool:
    limit = state.catalog.limits.get((set_state.key[0], rank))
    if limit is None:
        return False
    allowed = max(int(set_state.slots() * limit.max_slot_share), 1)
    return set_state.running_by_rank.get(rank, 0) >= allowed
