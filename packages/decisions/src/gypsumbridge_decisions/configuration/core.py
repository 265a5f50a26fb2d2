"""The state of the configuration protocol at one node."""

import dataclasses

from gypsumbridge_decisions.configuration import bounds as all_bounds
from gypsumbridge_decisions.configuration import vote


@dataclasses.dataclass(frozen=True)
class Core:
    """Frozen, so that the model check steps through the same functions.

    `confirmed_ms` is the latest time at which the store is known to have
    had no revision above the one held, `proven_ms` the same of a majority
    of failure domains as another node proved it. `recovered` is false from the
    start until the node holds what the store or a majority of failure
    domains knows; before that it takes no work and gives no vote.
    `votes` has one entry for each other failure domain heard of, and one
    for its own that other nodes of the domain gave.
    """

    failure_domain: str
    failure_domains: tuple[str, ...]
    started_ms: int
    bounds: all_bounds.Bounds = all_bounds.Bounds()
    revision: int = 0
    confirmed_ms: int = vote.NEVER_MS
    proven_ms: int = vote.NEVER_MS
    recovered: bool = False
    votes: tuple[vote.Vote, ...] = ()


def majority(core: Core) -> int:
    """Return how many failure domains make a majority."""
    return len(core.failure_domains) // 2 + 1
