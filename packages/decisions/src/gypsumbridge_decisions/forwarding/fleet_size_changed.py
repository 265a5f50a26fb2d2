"""News of how many nodes share the limits."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class FleetSizeChanged:
    """The number of nodes that divide connections and retry budgets."""

    nodes: int
