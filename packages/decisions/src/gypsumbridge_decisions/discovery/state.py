"""State of the discovery task."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import schema as schemas


class DiscoveryState:
    """Everything that the discovery task owns.

    `removals` holds when a searcher whose entry disappeared is dropped, on
    the node's clock. `failures` counts failed calls in a row, and
    `exact_list_needed` is set when a list may not be out of date.
    """

    def __init__(
        self,
        relay: relaying.RelayState,
        schema: schemas.StoreSchema,
        hold_ms: int,
    ) -> None:
        self.relay = relay
        self.schema = schema
        self.hold_ms = hold_ms
        self.revision = 0
        self.listed = False
        self.list_needed = True
        self.exact_list_needed = False
        self.settled = False
        self.failures = 0
        self.routes_version: int | None = None
        self.searchers: dict[str, forwarding.Searcher] = {}
        self.removals: dict[str, int] = {}
        self.nodes: set[str] = set()
        self.writing_node = False
        self.node_written = False

    def in_touch(self) -> bool:
        """Return whether this node gets the store's changes."""
        return self.revision > 0 and not self.failures


def make_discovery_state(
    relay: relaying.RelayState, schema: schemas.StoreSchema, hold_ms: int
) -> DiscoveryState:
    """Return the state of a node that knows nothing yet.

    `hold_ms` is how long a searcher is kept after its entry disappeared.
    """
    return DiscoveryState(relay, schema, hold_ms)
