"""The protocol state of the configuration at one node."""

import dataclasses

from gypsumbridge_decisions.configuration import bounds as all_bounds
from gypsumbridge_decisions.configuration import vote


@dataclasses.dataclass(frozen=True)
class Core:
    """Frozen, so that the model check can use the same functions.

    `confirmed_ms` is the latest time at which the store had no revision
    above the held one, `proven_ms` the latest time at which a majority of
    failure domains had none, as proved by another node. `recovered` is
    False from the start until the node holds the revision of the store or
    of a majority of failure domains; until then it accepts no work and
    does not vote. `votes` has one entry for each other failure domain that
    has voted, and one for the own failure domain from its other nodes.
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


def majority_size(core: Core) -> int:
    """Return the number of failure domains in a majority."""
    return len(core.failure_domains) // 2 + 1
