"""State of the discovery task."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions.discovery import schema as schemas


class DiscoveryState:
    """Everything that the discovery task owns.

    `removals` holds when a searcher whose entry disappeared is dropped, on
    the node's clock. `failures` counts failed calls in a row.
    """

    def __init__(
        self, node_id: str, schema: schemas.StoreSchema, hold_ms: int
    ) -> None:
        self.node_id = node_id
        self.schema = schema
        self.hold_ms = hold_ms
        self.revision = 0
        self.listed = False
        self.list_needed = True
        self.failures = 0
        self.routes_version: int | None = None
        self.searchers: dict[str, forwarding.Searcher] = {}
        self.removals: dict[str, int] = {}
        self.nodes: set[str] = set()
        self.writing_node = False


def make_discovery_state(
    node_id: str, schema: schemas.StoreSchema, hold_ms: int
) -> DiscoveryState:
    """Return the state of a node that knows nothing yet.

    `hold_ms` is how long a searcher is kept after its entry disappeared.
    """
    return DiscoveryState(node_id, schema, hold_ms)
