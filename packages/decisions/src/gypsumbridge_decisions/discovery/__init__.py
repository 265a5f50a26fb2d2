"""Decisions that keep routes, searchers and nodes in sync with the store."""

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
    publish_searchers as publish_searchers,
)
from gypsumbridge_decisions.discovery.applying import (
    record_departure as record_departure,
)
from gypsumbridge_decisions.discovery.applying import (
    remove_due_searchers as remove_due_searchers,
)
from gypsumbridge_decisions.discovery.applying import (
    schedule_removal as schedule_removal,
)
from gypsumbridge_decisions.discovery.command import Command as Command
from gypsumbridge_decisions.discovery.discovery_ready import (
    DiscoveryReady as DiscoveryReady,
)
from gypsumbridge_decisions.discovery.eras import (
    begin_newer_era as begin_newer_era,
)
from gypsumbridge_decisions.discovery.eras import (
    drop_older_answer as drop_older_answer,
)
from gypsumbridge_decisions.discovery.eras import (
    report_missing_era as report_missing_era,
)
from gypsumbridge_decisions.discovery.eras import stamp as stamp
from gypsumbridge_decisions.discovery.evacuating import (
    apply_evacuation as apply_evacuation,
)
from gypsumbridge_decisions.discovery.evacuating import domain_of as domain_of
from gypsumbridge_decisions.discovery.evacuating import (
    is_evacuation as is_evacuation,
)
from gypsumbridge_decisions.discovery.evacuating import (
    log_changes as log_changes,
)
from gypsumbridge_decisions.discovery.evacuating import (
    missing_keys as missing_keys,
)
from gypsumbridge_decisions.discovery.evacuating import publish as publish
from gypsumbridge_decisions.discovery.handler import handle as handle
from gypsumbridge_decisions.discovery.history_lost import (
    HistoryLost as HistoryLost,
)
from gypsumbridge_decisions.discovery.holders import (
    apply_holder as apply_holder,
)
from gypsumbridge_decisions.discovery.holders import (
    partition_of as partition_of,
)
from gypsumbridge_decisions.discovery.holders import (
    publish_holders as publish_holders,
)
from gypsumbridge_decisions.discovery.holders import (
    removed_holders as removed_holders,
)
from gypsumbridge_decisions.discovery.list_store import ListStore as ListStore
from gypsumbridge_decisions.discovery.listing import apply_list as apply_list
from gypsumbridge_decisions.discovery.listing import (
    handle_history_lost as handle_history_lost,
)
from gypsumbridge_decisions.discovery.listing import handle_list as handle_list
from gypsumbridge_decisions.discovery.node_written import (
    NodeWritten as NodeWritten,
)
from gypsumbridge_decisions.discovery.peer_updates import (
    apply_updates as apply_updates,
)
from gypsumbridge_decisions.discovery.peer_updates import (
    drop_older_updates as drop_older_updates,
)
from gypsumbridge_decisions.discovery.peer_updates import (
    exclude_outdated as exclude_outdated,
)
from gypsumbridge_decisions.discovery.peer_updates import (
    handle_peer_answer as handle_peer_answer,
)
from gypsumbridge_decisions.discovery.peer_updates import (
    handle_peer_failure as handle_peer_failure,
)
from gypsumbridge_decisions.discovery.peer_updates import (
    lacks_retained as lacks_retained,
)
from gypsumbridge_decisions.discovery.proving import NEVER_MS as NEVER_MS
from gypsumbridge_decisions.discovery.proving import (
    record_proof as record_proof,
)
from gypsumbridge_decisions.discovery.proving import (
    report_confirmation as report_confirmation,
)
from gypsumbridge_decisions.discovery.removal_hold import (
    removal_hold_ms as removal_hold_ms,
)
from gypsumbridge_decisions.discovery.removal_timer import (
    RemovalTimer as RemovalTimer,
)
from gypsumbridge_decisions.discovery.restore_timer import (
    RestoreTimer as RestoreTimer,
)
from gypsumbridge_decisions.discovery.restoring import end_hold as end_hold
from gypsumbridge_decisions.discovery.restoring import (
    entry_order as entry_order,
)
from gypsumbridge_decisions.discovery.restoring import (
    hold_missing as hold_missing,
)
from gypsumbridge_decisions.discovery.restoring import (
    is_outdated as is_outdated,
)
from gypsumbridge_decisions.discovery.restoring import (
    keep_routes as keep_routes,
)
from gypsumbridge_decisions.discovery.restoring import log_keys as log_keys
from gypsumbridge_decisions.discovery.restoring import (
    precedes_correction as precedes_correction,
)
from gypsumbridge_decisions.discovery.restoring import reconcile as reconcile
from gypsumbridge_decisions.discovery.resume_timer import (
    ResumeTimer as ResumeTimer,
)
from gypsumbridge_decisions.discovery.schema import StoreSchema as StoreSchema
from gypsumbridge_decisions.discovery.skipping import (
    skip_record as skip_record,
)
from gypsumbridge_decisions.discovery.state import (
    DiscoveryState as DiscoveryState,
)
from gypsumbridge_decisions.discovery.state import (
    make_discovery_state as make_discovery_state,
)
from gypsumbridge_decisions.discovery.store_answers import (
    handle_answer as handle_answer,
)
from gypsumbridge_decisions.discovery.store_answers import (
    handle_node_written as handle_node_written,
)
from gypsumbridge_decisions.discovery.store_answers import (
    StoreAnswer as StoreAnswer,
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
from gypsumbridge_decisions.discovery.syncing import (
    announce_node as announce_node,
)
from gypsumbridge_decisions.discovery.syncing import apply as apply
from gypsumbridge_decisions.discovery.syncing import (
    apply_changes as apply_changes,
)
from gypsumbridge_decisions.discovery.syncing import (
    awaits_peers as awaits_peers,
)
from gypsumbridge_decisions.discovery.syncing import (
    clear_missed_updates as clear_missed_updates,
)
from gypsumbridge_decisions.discovery.syncing import (
    handle_changes as handle_changes,
)
from gypsumbridge_decisions.discovery.syncing import (
    handle_store_failure as handle_store_failure,
)
from gypsumbridge_decisions.discovery.syncing import (
    mark_updates_missed as mark_updates_missed,
)
from gypsumbridge_decisions.discovery.syncing import (
    record_confirmation as record_confirmation,
)
from gypsumbridge_decisions.discovery.syncing import (
    record_outage as record_outage,
)
from gypsumbridge_decisions.discovery.syncing import (
    record_source as record_source,
)
from gypsumbridge_decisions.discovery.syncing import resume as resume
from gypsumbridge_decisions.discovery.syncing import (
    watch_wait_ms as watch_wait_ms,
)
from gypsumbridge_decisions.discovery.watch_store import (
    WatchStore as WatchStore,
)
from gypsumbridge_decisions.discovery.write_node import WriteNode as WriteNode
