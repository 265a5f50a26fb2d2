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
    proven. `evacuated` holds the failure domains under evacuation.

    `revision` is one of `era`, the newest era of the store that is known.
    `era_pending` is set until the store has been listed in that era, and
    `listing_exactly` while a list that is not stale is in flight.
    `era_missing_logged` is set when a response without an era was logged.
    `retained_known` is set once a peer has sent all that it retains, and
    `start_confirmed` once the first list of the process was confirmed;
    `held_routes` are those that are not published before.
    `restore_timer_era` is the era for which searchers that the copy lacks
    are held, and `kept_era` the last one for which the entries that it lacks
    were logged. `departed` holds the order of the last entry of
    searchers whose entry was deleted, and `routes_value` the configuration
    in force.
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
        self.era = 0
        self.era_pending = False
        self.listing_exactly = False
        self.era_missing_logged = False
        self.retained_known = False
        self.start_confirmed = False
        self.held_routes: forwarding.RoutesChanged | None = None
        self.restore_timer_era: int | None = None
        self.kept_era = 0
        self.departed: dict[str, tuple[int, int]] = {}
        self.routes_value: bytes | None = None
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
        self.evacuated: set[str] = set()
        self.holders: dict[int, quotas.HolderRecord] = {}
        self.writing_node = False
        self.node_written = False

    def status(self, now_ms: int) -> relaying.UpdateStatus:
        """Return the status that is sent with updates to other nodes."""
        age_ms = now_ms - self.confirmed_ms
        fresh = age_ms < relaying.STALE_MS
        known = self.revision > 0 or self.era_pending
        current = known and not self.failures and fresh
        unconfirmed = self.list_unconfirmed or self.era_pending
        return relaying.UpdateStatus(
            self.revision,
            in_touch=current and not unconfirmed,
            age_ms=age_ms,
            confirming=current and unconfirmed,
            proven_ms=self.proven_ms,
            era=self.era,
        )


def make_discovery_state(
    relay: relaying.RelayState, schema: schemas.StoreSchema, drain_ms: int
) -> DiscoveryState:
    """Return the state of a node that has not listed the store yet.

    A leaving searcher may be sent requests for `drain_ms`.
    """
    return DiscoveryState(relay, schema, drain_ms)
