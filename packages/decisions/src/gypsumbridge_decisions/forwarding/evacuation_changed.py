"""A report of the failure domains under evacuation."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EvacuationChanged:
    """Searchers in `failure_domains` must not be sent any requests."""

    failure_domains: frozenset[str]
