"""Applies revisions of the configuration and judges their freshness."""

from gypsumbridge_decisions.configuration.acceptance_timeout import (
    AcceptanceTimeout as AcceptanceTimeout,
)
from gypsumbridge_decisions.configuration.asking import (
    answer_waiting as answer_waiting,
)
from gypsumbridge_decisions.configuration.asking import (
    await_accepted as await_accepted,
)
from gypsumbridge_decisions.configuration.asking import (
    report_force as report_force,
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
from gypsumbridge_decisions.configuration.contents import Items as Items
from gypsumbridge_decisions.configuration.contents import (
    snapshot_after as snapshot_after,
)
from gypsumbridge_decisions.configuration.contents import (
    take_part as take_part,
)
from gypsumbridge_decisions.configuration.core import Core as Core
from gypsumbridge_decisions.configuration.core import majority as majority
from gypsumbridge_decisions.configuration.handler import (
    change_members as change_members,
)
from gypsumbridge_decisions.configuration.handler import handle as handle
from gypsumbridge_decisions.configuration.handler import run_tick as run_tick
from gypsumbridge_decisions.configuration.judge import find_vote as find_vote
from gypsumbridge_decisions.configuration.judge import (
    fresh_until_ms as fresh_until_ms,
)
from gypsumbridge_decisions.configuration.judge import (
    holding_domains as holding_domains,
)
from gypsumbridge_decisions.configuration.judge import (
    is_accepted as is_accepted,
)
from gypsumbridge_decisions.configuration.judge import (
    majority_ms as majority_ms,
)
from gypsumbridge_decisions.configuration.judge import (
    may_accept_work as may_accept_work,
)
from gypsumbridge_decisions.configuration.judge import proof_ms as proof_ms
from gypsumbridge_decisions.configuration.open_pull import OpenPull as OpenPull
from gypsumbridge_decisions.configuration.publish import Publish as Publish
from gypsumbridge_decisions.configuration.pulling import (
    choose_parent as choose_parent,
)
from gypsumbridge_decisions.configuration.pulling import (
    other_domains as other_domains,
)
from gypsumbridge_decisions.configuration.pulling import pull as pull
from gypsumbridge_decisions.configuration.pulling import pull_all as pull_all
from gypsumbridge_decisions.configuration.pulling import targets as targets
from gypsumbridge_decisions.configuration.receiving import (
    put_in_force as put_in_force,
)
from gypsumbridge_decisions.configuration.receiving import receive as receive
from gypsumbridge_decisions.configuration.receiving import (
    take_changes as take_changes,
)
from gypsumbridge_decisions.configuration.receiving import (
    take_items as take_items,
)
from gypsumbridge_decisions.configuration.receiving import (
    take_snapshot as take_snapshot,
)
from gypsumbridge_decisions.configuration.replying import answer as answer
from gypsumbridge_decisions.configuration.replying import (
    note_child as note_child,
)
from gypsumbridge_decisions.configuration.reporting import (
    forget_silent_children as forget_silent_children,
)
from gypsumbridge_decisions.configuration.reporting import (
    lagging_nodes as lagging_nodes,
)
from gypsumbridge_decisions.configuration.reporting import merge as merge
from gypsumbridge_decisions.configuration.reporting import (
    note_report as note_report,
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
from gypsumbridge_decisions.configuration.staged import Staged as Staged
from gypsumbridge_decisions.configuration.state import (
    ConfigurationState as ConfigurationState,
)
from gypsumbridge_decisions.configuration.state import (
    make_configuration_state as make_configuration_state,
)
from gypsumbridge_decisions.configuration.steps import (
    hold_revision as hold_revision,
)
from gypsumbridge_decisions.configuration.steps import prove as prove
from gypsumbridge_decisions.configuration.steps import (
    record_confirmation as record_confirmation,
)
from gypsumbridge_decisions.configuration.steps import (
    record_vote as record_vote,
)
from gypsumbridge_decisions.configuration.steps import recover as recover
from gypsumbridge_decisions.configuration.store_sync import (
    call_store as call_store,
)
from gypsumbridge_decisions.configuration.store_sync import (
    receive_store_reply as receive_store_reply,
)
from gypsumbridge_decisions.configuration.store_sync import (
    take_events as take_events,
)
from gypsumbridge_decisions.configuration.summaries import digest as digest
from gypsumbridge_decisions.configuration.summaries import (
    hear_summaries as hear_summaries,
)
from gypsumbridge_decisions.configuration.summaries import (
    make_summaries as make_summaries,
)
from gypsumbridge_decisions.configuration.summaries import (
    wanted_digest as wanted_digest,
)
from gypsumbridge_decisions.configuration.tick import Tick as Tick
from gypsumbridge_decisions.configuration.tree import (
    domain_orders as domain_orders,
)
from gypsumbridge_decisions.configuration.tree import parents as parents
from gypsumbridge_decisions.configuration.vote import NEVER_MS as NEVER_MS
from gypsumbridge_decisions.configuration.vote import Vote as Vote
from gypsumbridge_decisions.configuration.waiting_ask import (
    WaitingAsk as WaitingAsk,
)
