"""Choice of the searcher for an attempt."""

from collections.abc import Collection
from collections.abc import Iterable
import functools

from gypsumbridge_decisions.admission import searcher_load
from gypsumbridge_decisions.forwarding import placement
from gypsumbridge_decisions.forwarding import policy as policies
from gypsumbridge_decisions.forwarding import searcher as searchers
from gypsumbridge_decisions.forwarding import searcher_health
from gypsumbridge_decisions.routing import rendezvous

# A searcher in another failure domain is chosen only if those in this failure
# domain are expected to take this many median latencies longer. Traffic
# between failure domains is billed.
OTHER_DOMAIN_PENALTY = 1.0
# An overdue attempt suggests a pause longer than a median request.
OVERDUE_PENALTY = 3.0
FAILURE_PENALTY = 4.0
# Nodes with no searcher or with several searchers in their failure domain
# prefer different ones, so that connections and load spread over all of them.
PREFERENCE_SPREAD = 0.2


def choose_searcher(
    candidates: Iterable[searchers.Searcher],
    health: dict[str, searcher_health.SearcherHealth],
    policy: policies.ForwardingPolicy,
    excluded: Collection[str],
    now_ms: int,
    domains: placement.Domains = None,
) -> searchers.Searcher | None:
    """Return the searcher with the lowest expected latency, or None.

    Excluded searchers and those that may not be sent this request are never
    chosen; ejected ones, and ones passed over after an evacuation, only when
    there is no other.
    """
    best = None
    best_cost = (True, 0.0)
    for candidate in candidates:
        if candidate.searcher_id in excluded:
            continue
        measured = health[candidate.searcher_id]
        if not placement.may_be_sent(candidate, measured, domains, now_ms):
            continue
        measured.decay(now_ms)
        cost = (
            measured.ejected_until_ms > now_ms
            or (
                measured.returned_ms is not None
                and measured.is_passed_over(now_ms)
            ),
            expected_cost(candidate, measured, policy),
        )
        if best is None or cost < best_cost:
            best = candidate
            best_cost = cost
    return best


def next_usable_ms(
    candidates: Iterable[searchers.Searcher],
    health: dict[str, searcher_health.SearcherHealth],
    now_ms: int,
) -> int | None:
    """Return when the first searcher may be sent requests again, or None.

    It is known only of searchers that have stated it.
    """
    times = [
        health[candidate.searcher_id].closed_until_ms
        for candidate in candidates
        if not candidate.draining
        and not health[candidate.searcher_id].leaving
        and not health[candidate.searcher_id].replaced
    ]
    return min((at_ms for at_ms in times if at_ms > now_ms), default=None)


def expected_cost(
    searcher: searchers.Searcher,
    measured: searcher_health.SearcherHealth,
    policy: policies.ForwardingPolicy,
) -> float:
    """Return the expected latency in units of the route's median latency."""
    load = load_of(searcher, measured, policy)
    return load.expected_ms(1.0, 0, 0) + load.penalty


def load_of(
    searcher: searchers.Searcher,
    measured: searcher_health.SearcherHealth,
    policy: policies.ForwardingPolicy,
    full_until_ms: int = 0,
    slots: int = 0,
) -> searcher_load.SearcherLoad:
    """Return what this node knows of a searcher's load.

    It uses `slots` of its slots, or all if that is 0.
    """
    penalty = FAILURE_PENALTY * measured.failure_rate
    if searcher.failure_domain != policy.failure_domain:
        penalty += OTHER_DOMAIN_PENALTY
    return searcher_load.SearcherLoad(
        searcher.searcher_id,
        slots or searcher.slots,
        measured.in_flight,
        measured.slowness,
        OVERDUE_PENALTY * measured.overdue,
        penalty + preference(searcher.searcher_id, policy.node_id),
        full_until_ms,
    )


@functools.lru_cache(maxsize=4_096)
def preference(searcher_id: str, node_id: str) -> float:
    """Return a constant cost that depends on the node and the searcher."""
    weight = rendezvous.weight(searcher_id, node_id)
    return PREFERENCE_SPREAD * weight / rendezvous.HASH_RANGE
