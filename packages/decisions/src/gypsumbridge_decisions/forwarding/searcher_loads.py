"""The load of the searchers of a service, as far as this node knows it."""

import math

from gypsumbridge_decisions.admission import searcher_load
from gypsumbridge_decisions.forwarding import choosing
from gypsumbridge_decisions.forwarding import searcher as searchers
from gypsumbridge_decisions.forwarding import state as states

# Coordinators that share a service may use this many times its slots, since
# requests are not spread evenly over them at any moment.
OVERCOMMITMENT = 2


def loads_for(
    state: states.ForwardingState, service: str, now_ms: int
) -> list[searcher_load.SearcherLoad]:
    """Return the loads of the searchers that may run requests.

    A searcher that wants no requests for a time is full until then, and so
    is an ejected one unless all are.
    """
    candidates = []
    for candidate in state.searchers.get(service, ()):
        health = state.health[candidate.searcher_id]
        open_ms = max(now_ms, health.closed_until_ms)
        if candidate.draining or not health.may_be_sent_requests(open_ms):
            continue
        health.decay(now_ms)
        candidates.append((candidate, health))
    all_ejected = all(
        health.ejected_until_ms > now_ms for _, health in candidates
    )
    return [
        choosing.load_of(
            candidate,
            health,
            state.policy,
            max(
                health.full_until_ms,
                health.closed_until_ms,
                0 if all_ejected else health.ejected_until_ms,
            ),
            usable_slots(state, candidate),
        )
        for candidate, health in candidates
    ]


def usable_slots(
    state: states.ForwardingState, searcher: searchers.Searcher
) -> int:
    """Return how many requests this node sends to a searcher at a time.

    Where coordinators share a service, more would wait at the searcher, in
    the order of arrival in place of that of their ranks and customers.
    """
    sharers = state.coordination.count_placing(searcher.service)
    share = math.ceil(searcher.slots * OVERCOMMITMENT / sharers)
    return min(searcher.slots, share)


def full_searchers(
    state: states.ForwardingState, service: str, now_ms: int
) -> frozenset[str]:
    """Return the searchers without room, none if load is not controlled."""
    if not state.controls_load():
        return frozenset()
    found = set()
    for candidate in state.searchers.get(service, ()):
        health = state.health[candidate.searcher_id]
        if health.in_flight >= usable_slots(state, candidate):
            found.add(candidate.searcher_id)
        elif health.full_until_ms > now_ms:
            found.add(candidate.searcher_id)
    return frozenset(found)
