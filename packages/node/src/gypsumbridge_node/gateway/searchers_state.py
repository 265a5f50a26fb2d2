"""State of the task that owns the connections to searchers."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import searcher_pool

# The id, incarnation, address and port of a searcher.
PoolKey = tuple[str, int, str, int]
# The nodes use this share of the declared limit; the rest is reserved for
# nodes that are not counted yet.
LIMIT_SHARE = 0.9


class SearchersState:
    """Pools by searcher, attempts by id, and the inputs of the limits.

    The `budget` limits the incomplete responses of all searchers.
    """

    def __init__(
        self,
        node_id: str,
        budget: memory_budget.MemoryBudget,
        places_requests: bool = False,
    ) -> None:
        self.budget = budget
        self.pools: dict[PoolKey, searcher_pool.SearcherPool] = {}
        self.jobs: dict[int, attempt_job.AttemptJob] = {}
        self.table: forwarding.RouteTable | None = None
        self.nodes = forwarding.ASSUMED_NODES
        self.searchers: dict[str, list[forwarding.Searcher]] = {}
        self.coordination = forwarding.Coordination(node_id, places_requests)
        # The id of the call that was sent last, and its encoded head.
        self.last_head: tuple[int, bytes] = (0, b'')

    def limit_for(self, service: str) -> int:
        """Return this node's connection limit per searcher of a service."""
        declared = 0
        if self.table is not None:
            declared = self.table.connection_limits.get(service, 0)
        sharers = self.coordination.count_sharers(service, self.nodes)
        return max(1, int(declared * LIMIT_SHARE / sharers))

    def is_evacuated(self, searcher: forwarding.Searcher) -> bool:
        """Return whether a searcher's failure domain is evacuated."""
        return searcher.failure_domain in self.coordination.evacuated

    def refresh_coordinators(self) -> None:
        """Recompute the coordinators after a change of their inputs."""
        self.coordination.refresh(self.table, self.searchers)


def pool_key(searcher: forwarding.Searcher) -> PoolKey:
    """Return the key of a searcher's pool."""
    return (
        searcher.searcher_id,
        searcher.incarnation,
        searcher.address,
        searcher.port,
    )
