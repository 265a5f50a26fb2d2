"""Quotas of customers over all nodes, in leased partitions."""

from gypsumbridge_decisions.quotas.admission import cancel as cancel
from gypsumbridge_decisions.quotas.admission import (
    receive_request as receive_request,
)
from gypsumbridge_decisions.quotas.admission_cancelled import (
    AdmissionCancelled as AdmissionCancelled,
)
from gypsumbridge_decisions.quotas.admission_request import (
    AdmissionRequest as AdmissionRequest,
)
from gypsumbridge_decisions.quotas.admission_result import (
    AdmissionOutcome as AdmissionOutcome,
)
from gypsumbridge_decisions.quotas.admission_result import (
    AdmissionResult as AdmissionResult,
)
from gypsumbridge_decisions.quotas.answer_grant import (
    AnswerGrant as AnswerGrant,
)
from gypsumbridge_decisions.quotas.ask import Ask as Ask
from gypsumbridge_decisions.quotas.ask_holder import AskHolder as AskHolder
from gypsumbridge_decisions.quotas.asking import admit as admit
from gypsumbridge_decisions.quotas.asking import ask_partition as ask_partition
from gypsumbridge_decisions.quotas.asking import back_off_from as back_off_from
from gypsumbridge_decisions.quotas.asking import (
    choose_partition as choose_partition,
)
from gypsumbridge_decisions.quotas.asking import (
    end_without_limits as end_without_limits,
)
from gypsumbridge_decisions.quotas.asking import (
    handle_failure as handle_failure,
)
from gypsumbridge_decisions.quotas.asking import handle_reply as handle_reply
from gypsumbridge_decisions.quotas.asking import make_grant as make_grant
from gypsumbridge_decisions.quotas.asking import refuse_all as refuse_all
from gypsumbridge_decisions.quotas.asking import serve as serve
from gypsumbridge_decisions.quotas.asking import take_reply as take_reply
from gypsumbridge_decisions.quotas.asking import use_tokens as use_tokens
from gypsumbridge_decisions.quotas.back_off import BackOff as BackOff
from gypsumbridge_decisions.quotas.candidates import (
    find_candidates as find_candidates,
)
from gypsumbridge_decisions.quotas.command import Command as Command
from gypsumbridge_decisions.quotas.customer_limits import (
    CustomerLimits as CustomerLimits,
)
from gypsumbridge_decisions.quotas.demand import Demand as Demand
from gypsumbridge_decisions.quotas.entitlement import change_era as change_era
from gypsumbridge_decisions.quotas.entitlement import confirm as confirm
from gypsumbridge_decisions.quotas.entitlement import is_settled as is_settled
from gypsumbridge_decisions.quotas.entitlement import may_grant as may_grant
from gypsumbridge_decisions.quotas.entitlement import (
    name_holder as name_holder,
)
from gypsumbridge_decisions.quotas.entitlement import next_claim as next_claim
from gypsumbridge_decisions.quotas.entitlement import see_record as see_record
from gypsumbridge_decisions.quotas.grant import Grant as Grant
from gypsumbridge_decisions.quotas.grant_asked import GrantAsked as GrantAsked
from gypsumbridge_decisions.quotas.grant_reply import GrantReply as GrantReply
from gypsumbridge_decisions.quotas.grant_request import (
    GrantRequest as GrantRequest,
)
from gypsumbridge_decisions.quotas.granting import answer as answer
from gypsumbridge_decisions.quotas.granting import find_bucket as find_bucket
from gypsumbridge_decisions.quotas.granting import find_refusal as find_refusal
from gypsumbridge_decisions.quotas.granting import receive_ask as receive_ask
from gypsumbridge_decisions.quotas.grants_in_hand import (
    GrantsInHand as GrantsInHand,
)
from gypsumbridge_decisions.quotas.handler import decide as decide
from gypsumbridge_decisions.quotas.handler import handle as handle
from gypsumbridge_decisions.quotas.holder_answered import (
    HolderAnswered as HolderAnswered,
)
from gypsumbridge_decisions.quotas.holder_changes import (
    apply_record as apply_record,
)
from gypsumbridge_decisions.quotas.holder_changes import (
    change_holders as change_holders,
)
from gypsumbridge_decisions.quotas.holder_changes import (
    check_lapse as check_lapse,
)
from gypsumbridge_decisions.quotas.holder_changes import (
    confirm_copy as confirm_copy,
)
from gypsumbridge_decisions.quotas.holder_changes import (
    make_missing as make_missing,
)
from gypsumbridge_decisions.quotas.holder_changes import (
    record_era as record_era,
)
from gypsumbridge_decisions.quotas.holder_changes import (
    replace_holding as replace_holding,
)
from gypsumbridge_decisions.quotas.holder_changes import report as report
from gypsumbridge_decisions.quotas.holder_failed import (
    HolderFailed as HolderFailed,
)
from gypsumbridge_decisions.quotas.holder_record import (
    HolderRecord as HolderRecord,
)
from gypsumbridge_decisions.quotas.holder_written import (
    HolderWritten as HolderWritten,
)
from gypsumbridge_decisions.quotas.holders_changed import (
    HoldersChanged as HoldersChanged,
)
from gypsumbridge_decisions.quotas.holding import Holding as Holding
from gypsumbridge_decisions.quotas.limits import derive_limits as derive_limits
from gypsumbridge_decisions.quotas.limits import (
    grant_lifetime_ms as grant_lifetime_ms,
)
from gypsumbridge_decisions.quotas.limits import is_limited as is_limited
from gypsumbridge_decisions.quotas.limits import (
    total_capacity as total_capacity,
)
from gypsumbridge_decisions.quotas.limits import (
    total_rate_per_s as total_rate_per_s,
)
from gypsumbridge_decisions.quotas.limits import window_bound as window_bound
from gypsumbridge_decisions.quotas.limits import window_quota as window_quota
from gypsumbridge_decisions.quotas.log_limiter import LogLimiter as LogLimiter
from gypsumbridge_decisions.quotas.partition_order import (
    order_partitions as order_partitions,
)
from gypsumbridge_decisions.quotas.partition_order import (
    start_with as start_with,
)
from gypsumbridge_decisions.quotas.partition_state import (
    PartitionState as PartitionState,
)
from gypsumbridge_decisions.quotas.quota import Quota as Quota
from gypsumbridge_decisions.quotas.quota_changes import (
    change_limits as change_limits,
)
from gypsumbridge_decisions.quotas.quota_changes import (
    change_nodes as change_nodes,
)
from gypsumbridge_decisions.quotas.quota_changes import (
    change_quotas as change_quotas,
)
from gypsumbridge_decisions.quotas.quota_changes import (
    drop_unused as drop_unused,
)
from gypsumbridge_decisions.quotas.quota_policy import (
    QuotaPolicy as QuotaPolicy,
)
from gypsumbridge_decisions.quotas.quota_timer import QuotaTimer as QuotaTimer
from gypsumbridge_decisions.quotas.quotas_changed import (
    QuotasChanged as QuotasChanged,
)
from gypsumbridge_decisions.quotas.refusing import Outcome as Outcome
from gypsumbridge_decisions.quotas.refusing import refuse as refuse
from gypsumbridge_decisions.quotas.refusing import (
    refuse_over_quota as refuse_over_quota,
)
from gypsumbridge_decisions.quotas.refusing import (
    refuse_unknown as refuse_unknown,
)
from gypsumbridge_decisions.quotas.state import (
    make_quota_state as make_quota_state,
)
from gypsumbridge_decisions.quotas.state import QuotaState as QuotaState
from gypsumbridge_decisions.quotas.takeover import (
    check_partitions as check_partitions,
)
from gypsumbridge_decisions.quotas.takeover import (
    handle_probe_reply as handle_probe_reply,
)
from gypsumbridge_decisions.quotas.takeover import (
    handle_written as handle_written,
)
from gypsumbridge_decisions.quotas.takeover import probe as probe
from gypsumbridge_decisions.quotas.takeover import take_over as take_over
from gypsumbridge_decisions.quotas.takeover import (
    was_in_contact_since as was_in_contact_since,
)
from gypsumbridge_decisions.quotas.takeover import watch_holder as watch_holder
from gypsumbridge_decisions.quotas.takeover import write as write
from gypsumbridge_decisions.quotas.takeover import write_again as write_again
from gypsumbridge_decisions.quotas.token_bucket import NEVER_MS as NEVER_MS
from gypsumbridge_decisions.quotas.token_bucket import (
    TokenBucket as TokenBucket,
)
from gypsumbridge_decisions.quotas.waiting_request import (
    WaitingRequest as WaitingRequest,
)
from gypsumbridge_decisions.quotas.write_holder import (
    WriteHolder as WriteHolder,
)
