"""Decisions that keep routes, searchers and nodes in step with the store."""

from gypsumbridge_decisions.discovery.applying import apply_node as apply_node
from gypsumbridge_decisions.discovery.applying import (
    apply_records as apply_records,
)
from gypsumbridge_decisions.discovery.applying import (
    apply_routes as apply_routes,
)
from gypsumbridge_decisions.discovery.applying import (
    apply_searcher as apply_searcher,
)
from gypsumbridge_decisions.discovery.applying import (
    hold_removed as hold_removed,
)
from gypsumbridge_decisions.discovery.applying import (
    publish_searchers as publish_searchers,
)
from gypsumbridge_decisions.discovery.applying import (
    remove_held as remove_held,
)
from gypsumbridge_decisions.discovery.applying import skip as skip
from gypsumbridge_decisions.discovery.command import Command as Command
from gypsumbridge_decisions.discovery.discovery_ready import (
    DiscoveryReady as DiscoveryReady,
)
from gypsumbridge_decisions.discovery.following import apply_news as apply_news
from gypsumbridge_decisions.discovery.following import lose_peer as lose_peer
from gypsumbridge_decisions.discovery.following import miss as miss
from gypsumbridge_decisions.discovery.following import take_news as take_news
from gypsumbridge_decisions.discovery.handler import handle as handle
from gypsumbridge_decisions.discovery.history_lost import (
    HistoryLost as HistoryLost,
)
from gypsumbridge_decisions.discovery.list_store import ListStore as ListStore
from gypsumbridge_decisions.discovery.node_written import (
    NodeWritten as NodeWritten,
)
from gypsumbridge_decisions.discovery.removal_hold import (
    removal_hold_ms as removal_hold_ms,
)
from gypsumbridge_decisions.discovery.removal_timer import (
    RemovalTimer as RemovalTimer,
)
from gypsumbridge_decisions.discovery.resume_timer import (
    ResumeTimer as ResumeTimer,
)
from gypsumbridge_decisions.discovery.schema import StoreSchema as StoreSchema
from gypsumbridge_decisions.discovery.state import (
    DiscoveryState as DiscoveryState,
)
from gypsumbridge_decisions.discovery.state import (
    make_discovery_state as make_discovery_state,
)
from gypsumbridge_decisions.discovery.store_changed import (
    StoreChanged as StoreChanged,
)
from gypsumbridge_decisions.discovery.store_failed import (
    StoreFailed as StoreFailed,
)
from gypsumbridge_decisions.discovery.store_listed import (
    StoreListed as StoreListed,
)
from gypsumbridge_decisions.discovery.syncing import announce as announce
from gypsumbridge_decisions.discovery.syncing import apply as apply
from gypsumbridge_decisions.discovery.syncing import (
    apply_changes as apply_changes,
)
from gypsumbridge_decisions.discovery.syncing import apply_list as apply_list
from gypsumbridge_decisions.discovery.syncing import catch_up as catch_up
from gypsumbridge_decisions.discovery.syncing import fail as fail
from gypsumbridge_decisions.discovery.syncing import lose as lose
from gypsumbridge_decisions.discovery.syncing import (
    lose_history as lose_history,
)
from gypsumbridge_decisions.discovery.syncing import note_source as note_source
from gypsumbridge_decisions.discovery.syncing import regain as regain
from gypsumbridge_decisions.discovery.syncing import resume as resume
from gypsumbridge_decisions.discovery.syncing import (
    take_changes as take_changes,
)
from gypsumbridge_decisions.discovery.syncing import take_list as take_list
from gypsumbridge_decisions.discovery.watch_store import (
    WatchStore as WatchStore,
)
from gypsumbridge_decisions.discovery.write_node import WriteNode as WriteNode
