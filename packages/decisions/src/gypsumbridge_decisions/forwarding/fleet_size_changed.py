"""Update of the number of nodes that share the limits."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class FleetSizeChanged:
    """The number of nodes that share connection limits and retry budgets."""

    nodes: int
