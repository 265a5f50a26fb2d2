"""Replicates the configuration and checks its freshness."""

from gypsumbridge_decisions.configuration.acceptance import (
    await_accepted as await_accepted,
)
from gypsumbridge_decisions.configuration.acceptance import (
    complete_waits as complete_waits,
)
from gypsumbridge_decisions.configuration.acceptance import (
    report_in_force as report_in_force,
)
from gypsumbridge_decisions.configuration.acceptance_timeout import (
    AcceptanceTimeout as AcceptanceTimeout,
)
from gypsumbridge_decisions.configuration.acceptance_wait import (
    AcceptanceWait as AcceptanceWait,
)
from gypsumbridge_decisions.configuration.bounds import Bounds as Bounds
from gypsumbridge_decisions.configuration.child_report import (
    ChildReport as ChildReport,
)
from gypsumbridge_decisions.configuration.command import Command as Command
from gypsumbridge_decisions.configuration.contents import (
    changes_after as changes_after,
)
from gypsumbridge_decisions.configuration.contents import Contents as Contents
from gypsumbridge_decisions.configuration.contents import (
    first_chunk as first_chunk,
)
from gypsumbridge_decisions.configuration.contents import Items as Items
from gypsumbridge_decisions.configuration.contents import (
    snapshot_after as snapshot_after,
)
from gypsumbridge_decisions.configuration.core import Core as Core
from gypsumbridge_decisions.configuration.core import (
    majority_size as majority_size,
)
from gypsumbridge_decisions.configuration.handler import (
    apply_members as apply_members,
)
from gypsumbridge_decisions.configuration.handler import handle as handle
from gypsumbridge_decisions.configuration.handler import run_tick as run_tick
from gypsumbridge_decisions.configuration.pending_pull import (
    PendingPull as PendingPull,
)
from gypsumbridge_decisions.configuration.publish import Publish as Publish
from gypsumbridge_decisions.configuration.pulling import (
    choose_parent as choose_parent,
)
from gypsumbridge_decisions.configuration.pulling import (
    other_domain_relays as other_domain_relays,
)
from gypsumbridge_decisions.configuration.pulling import pull as pull
from gypsumbridge_decisions.configuration.pulling import pull_all as pull_all
from gypsumbridge_decisions.configuration.pulling import (
    pull_targets as pull_targets,
)
from gypsumbridge_decisions.configuration.quorum import find_vote as find_vote
from gypsumbridge_decisions.configuration.quorum import (
    fresh_until_ms as fresh_until_ms,
)
from gypsumbridge_decisions.configuration.quorum import (
    holding_domains as holding_domains,
)
from gypsumbridge_decisions.configuration.quorum import (
    is_accepted as is_accepted,
)
from gypsumbridge_decisions.configuration.quorum import (
    latest_proof_ms as latest_proof_ms,
)
from gypsumbridge_decisions.configuration.quorum import (
    majority_proof_ms as majority_proof_ms,
)
from gypsumbridge_decisions.configuration.quorum import (
    may_accept_work as may_accept_work,
)
from gypsumbridge_decisions.configuration.receiving import (
    apply_changes as apply_changes,
)
from gypsumbridge_decisions.configuration.receiving import (
    apply_items as apply_items,
)
from gypsumbridge_decisions.configuration.receiving import (
    apply_snapshot as apply_snapshot,
)
from gypsumbridge_decisions.configuration.receiving import (
    handle_reply as handle_reply,
)
from gypsumbridge_decisions.configuration.receiving import (
    put_in_force as put_in_force,
)
from gypsumbridge_decisions.configuration.replying import (
    handle_pull as handle_pull,
)
from gypsumbridge_decisions.configuration.replying import (
    record_child_report as record_child_report,
)
from gypsumbridge_decisions.configuration.reporting import (
    lagging_nodes as lagging_nodes,
)
from gypsumbridge_decisions.configuration.reporting import (
    merge_reports as merge_reports,
)
from gypsumbridge_decisions.configuration.reporting import (
    record_domain_report as record_domain_report,
)
from gypsumbridge_decisions.configuration.reporting import (
    remove_expired_children as remove_expired_children,
)
from gypsumbridge_decisions.configuration.reporting import (
    subtree_report as subtree_report,
)
from gypsumbridge_decisions.configuration.reporting import (
    update_own_domain as update_own_domain,
)
from gypsumbridge_decisions.configuration.serving import (
    report_serving as report_serving,
)
from gypsumbridge_decisions.configuration.staged_snapshot import (
    StagedSnapshot as StagedSnapshot,
)
from gypsumbridge_decisions.configuration.state import (
    ConfigurationState as ConfigurationState,
)
from gypsumbridge_decisions.configuration.state import (
    make_configuration_state as make_configuration_state,
)
from gypsumbridge_decisions.configuration.steps import (
    check_recovery as check_recovery,
)
from gypsumbridge_decisions.configuration.steps import (
    hold_revision as hold_revision,
)
from gypsumbridge_decisions.configuration.steps import (
    record_confirmation as record_confirmation,
)
from gypsumbridge_decisions.configuration.steps import (
    record_proof as record_proof,
)
from gypsumbridge_decisions.configuration.steps import (
    record_vote as record_vote,
)
from gypsumbridge_decisions.configuration.store_sync import (
    apply_events as apply_events,
)
from gypsumbridge_decisions.configuration.store_sync import (
    call_store as call_store,
)
from gypsumbridge_decisions.configuration.store_sync import (
    receive_store_reply as receive_store_reply,
)
from gypsumbridge_decisions.configuration.summaries import (
    apply_summaries as apply_summaries,
)
from gypsumbridge_decisions.configuration.summaries import (
    make_summaries as make_summaries,
)
from gypsumbridge_decisions.configuration.summaries import (
    pull_digest as pull_digest,
)
from gypsumbridge_decisions.configuration.summaries import (
    summaries_digest as summaries_digest,
)
from gypsumbridge_decisions.configuration.tick import Tick as Tick
from gypsumbridge_decisions.configuration.tree import (
    domain_orders as domain_orders,
)
from gypsumbridge_decisions.configuration.tree import (
    parent_candidates as parent_candidates,
)
from gypsumbridge_decisions.configuration.vote import NEVER_MS as NEVER_MS
from gypsumbridge_decisions.configuration.vote import Vote as Vote
