"""State of the discovery task."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import removal_hold
from gypsumbridge_decisions.discovery import schema as schemas


class DiscoveryState:
    """Everything that the discovery task owns.

    `removals` holds when each searcher whose entry was deleted is dropped,
    on the node's clock. `failures` counts consecutive failed calls, and
    `exact_list_needed` is set when a stale list must not be used.
    `list_unconfirmed` is set after a list that may be stale, until the
    changes since then are known. `confirmed_ms` is when the store last
    answered; unless `list_unconfirmed` is set, `revision` was then its
    latest. While updates may be missing, because of a peer or after a stale
    list, `missed_since_ms` is the time of the last answer before that;
    `store_failed` is set when a call of this node to the store has failed
    since. `holders` has the last known entry of each partition, also of those
    whose entry was deleted. The copy was the store's newest at `proven_ms`
    or later, on the clock that counts suspended time; None if that was never
    proven.
    """

    def __init__(
        self,
        relay: relaying.RelayState,
        schema: schemas.StoreSchema,
        drain_ms: int,
    ) -> None:
        self.relay = relay
        self.schema = schema
        self.drain_ms = drain_ms
        self.hold_ms = removal_hold.removal_hold_ms(drain_ms)
        self.revision = 0
        self.ready_reported = False
        self.list_needed = True
        self.exact_list_needed = False
        self.list_unconfirmed = False
        self.settle_timer_set = False
        self.failures = 0
        self.confirmed_ms = 0
        self.proven_ms: int | None = None
        self.missed_since_ms: int | None = None
        self.store_failed = False
        self.routes_version: int | None = None
        self.searchers: dict[str, forwarding.Searcher] = {}
        self.removals: dict[str, int] = {}
        self.nodes: set[str] = set()
        self.holders: dict[int, quotas.HolderRecord] = {}
        self.writing_node = False
        self.node_written = False

    def status(self, now_ms: int) -> relaying.UpdateStatus:
        """Return the status that is sent with updates to other nodes."""
        age_ms = now_ms - self.confirmed_ms
        fresh = age_ms < relaying.STALE_MS
        current = self.revision > 0 and not self.failures and fresh
        return relaying.UpdateStatus(
            self.revision,
            in_touch=current and not self.list_unconfirmed,
            age_ms=age_ms,
            confirming=current and self.list_unconfirmed,
            proven_ms=self.proven_ms,
        )


def make_discovery_state(
    relay: relaying.RelayState, schema: schemas.StoreSchema, drain_ms: int
) -> DiscoveryState:
    """Return the state of a node that has not listed the store yet.

    A leaving searcher may be sent requests for `drain_ms`.
    """
    return DiscoveryState(relay, schema, drain_ms)
