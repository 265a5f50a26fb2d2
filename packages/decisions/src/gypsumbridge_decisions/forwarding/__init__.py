"""Decisions about forwarding HTTP requests and gathering their parts."""

from gypsumbridge_decisions.forwarding.accept_delegated import (
    AcceptDelegated as AcceptDelegated,
)
from gypsumbridge_decisions.forwarding.acceptance_timer import (
    AcceptanceTimer as AcceptanceTimer,
)
from gypsumbridge_decisions.forwarding.admission import (
    drop_waiting as drop_waiting,
)
from gypsumbridge_decisions.forwarding.admission import (
    end_waiting as end_waiting,
)
from gypsumbridge_decisions.forwarding.admission import (
    refuse_waiting as refuse_waiting,
)
from gypsumbridge_decisions.forwarding.admission import (
    wait_for_admission as wait_for_admission,
)
from gypsumbridge_decisions.forwarding.admitting import (
    handle_admission as handle_admission,
)
from gypsumbridge_decisions.forwarding.admitting import Outcome as Outcome
from gypsumbridge_decisions.forwarding.admitting import (
    refuse_unadmitted as refuse_unadmitted,
)
from gypsumbridge_decisions.forwarding.answer_delay import (
    AnswerDelay as AnswerDelay,
)
from gypsumbridge_decisions.forwarding.answer_timing import (
    answer_after_ms as answer_after_ms,
)
from gypsumbridge_decisions.forwarding.answer_timing import (
    answer_delay_for as answer_delay_for,
)
from gypsumbridge_decisions.forwarding.answer_timing import (
    own_delay_ms as own_delay_ms,
)
from gypsumbridge_decisions.forwarding.arrival import (
    choose_services as choose_services,
)
from gypsumbridge_decisions.forwarding.arrival import expiry_ms as expiry_ms
from gypsumbridge_decisions.forwarding.arrival import (
    is_coverable as is_coverable,
)
from gypsumbridge_decisions.forwarding.arrival import (
    refuse_unsent as refuse_unsent,
)
from gypsumbridge_decisions.forwarding.arrival import set_timers as set_timers
from gypsumbridge_decisions.forwarding.arrival import (
    start_exchange as start_exchange,
)
from gypsumbridge_decisions.forwarding.attempt import Attempt as Attempt
from gypsumbridge_decisions.forwarding.attempt_ended import (
    AttemptEnded as AttemptEnded,
)
from gypsumbridge_decisions.forwarding.attempt_outcome import (
    AttemptOutcome as AttemptOutcome,
)
from gypsumbridge_decisions.forwarding.caller_disconnected import (
    CallerDisconnected as CallerDisconnected,
)
from gypsumbridge_decisions.forwarding.caller_request import (
    CallerRequest as CallerRequest,
)
from gypsumbridge_decisions.forwarding.caller_response import (
    CallerResponse as CallerResponse,
)
from gypsumbridge_decisions.forwarding.cancel_attempt import (
    CancelAttempt as CancelAttempt,
)
from gypsumbridge_decisions.forwarding.cancel_delegation import (
    CancelDelegation as CancelDelegation,
)
from gypsumbridge_decisions.forwarding.checked_request import (
    CheckedRequest as CheckedRequest,
)
from gypsumbridge_decisions.forwarding.choosing import (
    choose_searcher as choose_searcher,
)
from gypsumbridge_decisions.forwarding.choosing import (
    expected_cost as expected_cost,
)
from gypsumbridge_decisions.forwarding.choosing import load_of as load_of
from gypsumbridge_decisions.forwarding.choosing import (
    next_usable_ms as next_usable_ms,
)
from gypsumbridge_decisions.forwarding.choosing import preference as preference
from gypsumbridge_decisions.forwarding.command import Command as Command
from gypsumbridge_decisions.forwarding.coordinating import (
    is_overloaded as is_overloaded,
)
from gypsumbridge_decisions.forwarding.coordinating import (
    receive_delegated as receive_delegated,
)
from gypsumbridge_decisions.forwarding.coordinating import (
    refuse_delegated as refuse_delegated,
)
from gypsumbridge_decisions.forwarding.coordination import (
    Coordination as Coordination,
)
from gypsumbridge_decisions.forwarding.coordinator_health import (
    CoordinatorHealth as CoordinatorHealth,
)
from gypsumbridge_decisions.forwarding.coordinator_plan import (
    CoordinatorPlan as CoordinatorPlan,
)
from gypsumbridge_decisions.forwarding.coordinator_plan import (
    covered_domains as covered_domains,
)
from gypsumbridge_decisions.forwarding.coordinator_plan import (
    plan_coordinators as plan_coordinators,
)
from gypsumbridge_decisions.forwarding.copy_confirmed import (
    CopyConfirmed as CopyConfirmed,
)
from gypsumbridge_decisions.forwarding.copy_freshness import (
    CopyFreshness as CopyFreshness,
)
from gypsumbridge_decisions.forwarding.customer import Customer as Customer
from gypsumbridge_decisions.forwarding.customer_check import (
    check_customer as check_customer,
)
from gypsumbridge_decisions.forwarding.customer_check import (
    refuse_unknown_key as refuse_unknown_key,
)
from gypsumbridge_decisions.forwarding.customer_check import (
    refuse_unknown_route as refuse_unknown_route,
)
from gypsumbridge_decisions.forwarding.customer_table import (
    CustomerTable as CustomerTable,
)
from gypsumbridge_decisions.forwarding.customer_table import (
    make_customer_table as make_customer_table,
)
from gypsumbridge_decisions.forwarding.delegate_request import (
    DelegateRequest as DelegateRequest,
)
from gypsumbridge_decisions.forwarding.delegated_request import (
    DelegatedRequest as DelegatedRequest,
)
from gypsumbridge_decisions.forwarding.delegating import admit as admit
from gypsumbridge_decisions.forwarding.delegating import (
    cancel_delegated as cancel_delegated,
)
from gypsumbridge_decisions.forwarding.delegating import (
    choose_coordinator as choose_coordinator,
)
from gypsumbridge_decisions.forwarding.delegating import (
    expire_delegated as expire_delegated,
)
from gypsumbridge_decisions.forwarding.delegating import receive as receive
from gypsumbridge_decisions.forwarding.delegating import (
    relay_response as relay_response,
)
from gypsumbridge_decisions.forwarding.delegating import (
    start_request as start_request,
)
from gypsumbridge_decisions.forwarding.delegation import (
    Delegation as Delegation,
)
from gypsumbridge_decisions.forwarding.delegation_accepted import (
    DelegationAccepted as DelegationAccepted,
)
from gypsumbridge_decisions.forwarding.delegation_ended import (
    DelegationEnded as DelegationEnded,
)
from gypsumbridge_decisions.forwarding.delegation_ending import fail as fail
from gypsumbridge_decisions.forwarding.delegation_ending import (
    handle_acceptance as handle_acceptance,
)
from gypsumbridge_decisions.forwarding.delegation_ending import (
    handle_acceptance_timer as handle_acceptance_timer,
)
from gypsumbridge_decisions.forwarding.delegation_ending import (
    handle_end as handle_end,
)
from gypsumbridge_decisions.forwarding.delegation_ending import (
    start_again as start_again,
)
from gypsumbridge_decisions.forwarding.delegation_sending import (
    acceptance_ms as acceptance_ms,
)
from gypsumbridge_decisions.forwarding.delegation_sending import (
    cancel_groups as cancel_groups,
)
from gypsumbridge_decisions.forwarding.delegation_sending import (
    choose_least_busy as choose_least_busy,
)
from gypsumbridge_decisions.forwarding.delegation_sending import (
    health_of as health_of,
)
from gypsumbridge_decisions.forwarding.delegation_sending import (
    log_lost as log_lost,
)
from gypsumbridge_decisions.forwarding.delegation_sending import (
    pop_delegation as pop_delegation,
)
from gypsumbridge_decisions.forwarding.delegation_sending import (
    send_delegation as send_delegation,
)
from gypsumbridge_decisions.forwarding.departed_searcher import (
    DepartedSearcher as DepartedSearcher,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    change_evacuation as change_evacuation,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    change_fleet_size as change_fleet_size,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    change_hold as change_hold,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    change_nodes as change_nodes,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    change_routes as change_routes,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    change_searchers as change_searchers,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    forget_departed as forget_departed,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    refresh_shares as refresh_shares,
)
from gypsumbridge_decisions.forwarding.discovery_updates import (
    report_skipped_keys as report_skipped_keys,
)
from gypsumbridge_decisions.forwarding.ending import (
    cancel_attempts as cancel_attempts,
)
from gypsumbridge_decisions.forwarding.ending import (
    finish_if_complete as finish_if_complete,
)
from gypsumbridge_decisions.forwarding.ending import (
    handle_attempt_end as handle_attempt_end,
)
from gypsumbridge_decisions.forwarding.ending import (
    handle_attempt_failure as handle_attempt_failure,
)
from gypsumbridge_decisions.forwarding.ending import is_answer as is_answer
from gypsumbridge_decisions.forwarding.ending import record_end as record_end
from gypsumbridge_decisions.forwarding.ending import (
    record_measurement as record_measurement,
)
from gypsumbridge_decisions.forwarding.evacuation_changed import (
    EvacuationChanged as EvacuationChanged,
)
from gypsumbridge_decisions.forwarding.exchange import Exchange as Exchange
from gypsumbridge_decisions.forwarding.expiry_timer import (
    ExpiryTimer as ExpiryTimer,
)
from gypsumbridge_decisions.forwarding.final_response import failure as failure
from gypsumbridge_decisions.forwarding.final_response import (
    may_have_run as may_have_run,
)
from gypsumbridge_decisions.forwarding.final_response import relay as relay
from gypsumbridge_decisions.forwarding.final_response import (
    retry_after_ms as retry_after_ms,
)
from gypsumbridge_decisions.forwarding.final_response import success as success
from gypsumbridge_decisions.forwarding.finishing import (
    cancel_all as cancel_all,
)
from gypsumbridge_decisions.forwarding.finishing import coverage as coverage
from gypsumbridge_decisions.forwarding.finishing import (
    covers_enough as covers_enough,
)
from gypsumbridge_decisions.forwarding.finishing import describe as describe
from gypsumbridge_decisions.forwarding.finishing import expire as expire
from gypsumbridge_decisions.forwarding.finishing import finish as finish
from gypsumbridge_decisions.forwarding.finishing import (
    handle_disconnect as handle_disconnect,
)
from gypsumbridge_decisions.forwarding.finishing import (
    handle_objective_timer as handle_objective_timer,
)
from gypsumbridge_decisions.forwarding.finishing import (
    may_cover_enough as may_cover_enough,
)
from gypsumbridge_decisions.forwarding.finishing import (
    record_answer_delay as record_answer_delay,
)
from gypsumbridge_decisions.forwarding.finishing import (
    record_lag as record_lag,
)
from gypsumbridge_decisions.forwarding.fleet_size_changed import (
    FleetSizeChanged as FleetSizeChanged,
)
from gypsumbridge_decisions.forwarding.gather_rule import (
    GatherRule as GatherRule,
)
from gypsumbridge_decisions.forwarding.grouping import (
    close_group as close_group,
)
from gypsumbridge_decisions.forwarding.grouping import drop_group as drop_group
from gypsumbridge_decisions.forwarding.grouping import (
    merge_group as merge_group,
)
from gypsumbridge_decisions.forwarding.grouping import (
    plan_groups as plan_groups,
)
from gypsumbridge_decisions.forwarding.grouping import (
    remote_coordinators as remote_coordinators,
)
from gypsumbridge_decisions.forwarding.grouping import (
    remote_domains as remote_domains,
)
from gypsumbridge_decisions.forwarding.grouping import (
    send_directly as send_directly,
)
from gypsumbridge_decisions.forwarding.grouping import (
    send_groups as send_groups,
)
from gypsumbridge_decisions.forwarding.handler import decide as decide
from gypsumbridge_decisions.forwarding.handler import handle as handle
from gypsumbridge_decisions.forwarding.hedge_timer import (
    HedgeTimer as HedgeTimer,
)
from gypsumbridge_decisions.forwarding.hedging import hedge as hedge
from gypsumbridge_decisions.forwarding.hedging import (
    hedge_delay_ms as hedge_delay_ms,
)
from gypsumbridge_decisions.forwarding.hedging import postpone as postpone
from gypsumbridge_decisions.forwarding.hold_changed import (
    HoldChanged as HoldChanged,
)
from gypsumbridge_decisions.forwarding.ingress_limits import (
    IngressLimits as IngressLimits,
)
from gypsumbridge_decisions.forwarding.key_digest import (
    digest_keys as digest_keys,
)
from gypsumbridge_decisions.forwarding.latency_window import (
    LatencyWindow as LatencyWindow,
)
from gypsumbridge_decisions.forwarding.nodes_changed import (
    NodesChanged as NodesChanged,
)
from gypsumbridge_decisions.forwarding.objective_timer import (
    ObjectiveTimer as ObjectiveTimer,
)
from gypsumbridge_decisions.forwarding.part_state import PartState as PartState
from gypsumbridge_decisions.forwarding.placed_ending import (
    may_be_repeated as may_be_repeated,
)
from gypsumbridge_decisions.forwarding.placed_ending import (
    send_from_here as send_from_here,
)
from gypsumbridge_decisions.forwarding.placement import (
    allowed_domains as allowed_domains,
)
from gypsumbridge_decisions.forwarding.placement import Domains as Domains
from gypsumbridge_decisions.forwarding.placement import (
    may_be_sent as may_be_sent,
)
from gypsumbridge_decisions.forwarding.placement import placed as placed
from gypsumbridge_decisions.forwarding.placement import (
    placed_nodes as placed_nodes,
)
from gypsumbridge_decisions.forwarding.policy import (
    ForwardingPolicy as ForwardingPolicy,
)
from gypsumbridge_decisions.forwarding.ranking import rank_of as rank_of
from gypsumbridge_decisions.forwarding.refuse_delegated import (
    RefuseDelegated as RefuseDelegated,
)
from gypsumbridge_decisions.forwarding.refusing import (
    log_unplaced as log_unplaced,
)
from gypsumbridge_decisions.forwarding.refusing import refuse as refuse
from gypsumbridge_decisions.forwarding.refusing import reject as reject
from gypsumbridge_decisions.forwarding.request_placement import (
    choose_gathering as choose_gathering,
)
from gypsumbridge_decisions.forwarding.request_placement import (
    choose_single_coordinator as choose_single_coordinator,
)
from gypsumbridge_decisions.forwarding.request_placement import (
    is_placeable as is_placeable,
)
from gypsumbridge_decisions.forwarding.request_placement import (
    report as report,
)
from gypsumbridge_decisions.forwarding.response_written import (
    ResponseWritten as ResponseWritten,
)
from gypsumbridge_decisions.forwarding.retry_budget import (
    fixed_share as fixed_share,
)
from gypsumbridge_decisions.forwarding.retry_budget import (
    RetryBudget as RetryBudget,
)
from gypsumbridge_decisions.forwarding.retry_delay import (
    recovery_delay_ms as recovery_delay_ms,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    describe_part as describe_part,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    dispatch as dispatch,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    dispatch_service as dispatch_service,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    find_part as find_part,
)
from gypsumbridge_decisions.forwarding.room_dispatch import give_up as give_up
from gypsumbridge_decisions.forwarding.room_dispatch import (
    handle_room_timer as handle_room_timer,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    postpone_hedge as postpone_hedge,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    record_wait as record_wait,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    send_part as send_part,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    set_timer as set_timer,
)
from gypsumbridge_decisions.forwarding.room_dispatch import (
    useful_ms as useful_ms,
)
from gypsumbridge_decisions.forwarding.room_timer import RoomTimer as RoomTimer
from gypsumbridge_decisions.forwarding.route import Route as Route
from gypsumbridge_decisions.forwarding.route_latency import (
    latency_window_for as latency_window_for,
)
from gypsumbridge_decisions.forwarding.route_table import (
    find_route as find_route,
)
from gypsumbridge_decisions.forwarding.route_table import (
    RouteTable as RouteTable,
)
from gypsumbridge_decisions.forwarding.routes_changed import (
    RoutesChanged as RoutesChanged,
)
from gypsumbridge_decisions.forwarding.searcher import Searcher as Searcher
from gypsumbridge_decisions.forwarding.searcher_health import (
    SearcherHealth as SearcherHealth,
)
from gypsumbridge_decisions.forwarding.searcher_loads import (
    full_searchers as full_searchers,
)
from gypsumbridge_decisions.forwarding.searcher_loads import (
    loads_for as loads_for,
)
from gypsumbridge_decisions.forwarding.searcher_loads import (
    usable_slots as usable_slots,
)
from gypsumbridge_decisions.forwarding.searcher_statement import (
    SearcherStatement as SearcherStatement,
)
from gypsumbridge_decisions.forwarding.searchers_changed import (
    SearchersChanged as SearchersChanged,
)
from gypsumbridge_decisions.forwarding.send_attempt import (
    SendAttempt as SendAttempt,
)
from gypsumbridge_decisions.forwarding.sending import budget_for as budget_for
from gypsumbridge_decisions.forwarding.sending import choose as choose
from gypsumbridge_decisions.forwarding.sending import EVACUATED as EVACUATED
from gypsumbridge_decisions.forwarding.sending import (
    fixed_budget as fixed_budget,
)
from gypsumbridge_decisions.forwarding.sending import (
    has_usable_searcher as has_usable_searcher,
)
from gypsumbridge_decisions.forwarding.sending import (
    record_unusable as record_unusable,
)
from gypsumbridge_decisions.forwarding.sending import send as send
from gypsumbridge_decisions.forwarding.sending import (
    send_extra_attempt as send_extra_attempt,
)
from gypsumbridge_decisions.forwarding.sending import (
    send_first_attempt as send_first_attempt,
)
from gypsumbridge_decisions.forwarding.sending import (
    send_to_only_searcher as send_to_only_searcher,
)
from gypsumbridge_decisions.forwarding.service_group import (
    ServiceGroup as ServiceGroup,
)
from gypsumbridge_decisions.forwarding.skipped_keys import (
    SkippedKeys as SkippedKeys,
)
from gypsumbridge_decisions.forwarding.split import Split as Split
from gypsumbridge_decisions.forwarding.state import (
    ASSUMED_NODES as ASSUMED_NODES,
)
from gypsumbridge_decisions.forwarding.state import (
    ForwardingState as ForwardingState,
)
from gypsumbridge_decisions.forwarding.state import (
    make_forwarding_state as make_forwarding_state,
)
from gypsumbridge_decisions.forwarding.statements import (
    apply_statement as apply_statement,
)
from gypsumbridge_decisions.forwarding.statements import (
    record_relayed as record_relayed,
)
from gypsumbridge_decisions.forwarding.statements import (
    record_statements as record_statements,
)
from gypsumbridge_decisions.forwarding.stop_accepting import (
    StopAccepting as StopAccepting,
)
from gypsumbridge_decisions.forwarding.stopping import (
    end_requests as end_requests,
)
from gypsumbridge_decisions.forwarding.top_records import (
    TopRecords as TopRecords,
)
from gypsumbridge_decisions.forwarding.waiting_for_room import (
    excluded_searchers as excluded_searchers,
)
from gypsumbridge_decisions.forwarding.waiting_for_room import (
    stop_waiting as stop_waiting,
)
from gypsumbridge_decisions.forwarding.waiting_for_room import (
    wait_again as wait_again,
)
from gypsumbridge_decisions.forwarding.waiting_for_room import (
    wait_for_room as wait_for_room,
)
from gypsumbridge_decisions.forwarding.waiting_for_room import (
    weight_of as weight_of,
)
from gypsumbridge_decisions.forwarding.warming import (
    is_kept_warm as is_kept_warm,
)
from gypsumbridge_decisions.forwarding.warming import (
    warm_up_delay_ms as warm_up_delay_ms,
)
from gypsumbridge_decisions.forwarding.weighted_service import (
    WeightedService as WeightedService,
)
