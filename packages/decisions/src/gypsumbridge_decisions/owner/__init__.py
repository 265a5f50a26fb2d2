"""Queues, slots, admission, replica choice and hedging of replica sets."""

from gypsumbridge_decisions.owner.accept import accept_batch as accept_batch
from gypsumbridge_decisions.owner.accept import (
    accept_mutation as accept_mutation,
)
from gypsumbridge_decisions.owner.accept import (
    MAX_DEDUP_MUTATIONS as MAX_DEDUP_MUTATIONS,
)
from gypsumbridge_decisions.owner.accept import (
    MUTATION_DEDUP_WINDOW_MS as MUTATION_DEDUP_WINDOW_MS,
)
from gypsumbridge_decisions.owner.accept import (
    refusal_reason as refusal_reason,
)
from gypsumbridge_decisions.owner.accept import (
    wait_target_ms as wait_target_ms,
)
from gypsumbridge_decisions.owner.admission import Admission as Admission
from gypsumbridge_decisions.owner.admission import make_level as make_level
from gypsumbridge_decisions.owner.call_key import CallKey as CallKey
from gypsumbridge_decisions.owner.call_queue import CallQueue as CallQueue
from gypsumbridge_decisions.owner.cancel import answer_check as answer_check
from gypsumbridge_decisions.owner.cancel import cancel_batch as cancel_batch
from gypsumbridge_decisions.owner.catalog_update import (
    apply_catalog as apply_catalog,
)
from gypsumbridge_decisions.owner.catalog_update import find_set as find_set
from gypsumbridge_decisions.owner.catalog_update import (
    refuse_undeclared as refuse_undeclared,
)
from gypsumbridge_decisions.owner.coalescing import coalesce as coalesce
from gypsumbridge_decisions.owner.command import Command as Command
from gypsumbridge_decisions.owner.dispatch_check import (
    check_dispatch as check_dispatch,
)
from gypsumbridge_decisions.owner.dispatching import dispatch as dispatch
from gypsumbridge_decisions.owner.dispatching import (
    start_request as start_request,
)
from gypsumbridge_decisions.owner.extra_load_budget import (
    ExtraLoadBudget as ExtraLoadBudget,
)
from gypsumbridge_decisions.owner.handler import handle as handle
from gypsumbridge_decisions.owner.health import (
    record_cancelled as record_cancelled,
)
from gypsumbridge_decisions.owner.health import (
    record_failure as record_failure,
)
from gypsumbridge_decisions.owner.health import record_shed as record_shed
from gypsumbridge_decisions.owner.health import (
    record_success as record_success,
)
from gypsumbridge_decisions.owner.health_timer import (
    HealthTimer as HealthTimer,
)
from gypsumbridge_decisions.owner.hedge_timer import HedgeTimer as HedgeTimer
from gypsumbridge_decisions.owner.hedging import hedge as hedge
from gypsumbridge_decisions.owner.host_notice_timer import (
    HostNoticeTimer as HostNoticeTimer,
)
from gypsumbridge_decisions.owner.latency import Latency as Latency
from gypsumbridge_decisions.owner.leaving_handover import (
    apply_members as apply_members,
)
from gypsumbridge_decisions.owner.leaving_handover import (
    notify_new_owners as notify_new_owners,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    apply_health as apply_health,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    apply_host_list as apply_host_list,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    apply_leaving_reply as apply_leaving_reply,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    apply_notice as apply_notice,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    check_health as check_health,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    expire_host_notice as expire_host_notice,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    find_endpoint as find_endpoint,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    find_owners as find_owners,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    notify_declared_leaving as notify_declared_leaving,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    notify_owners as notify_owners,
)
from gypsumbridge_decisions.owner.leaving_notices import (
    update_members as update_members,
)
from gypsumbridge_decisions.owner.leaving_sources import (
    refresh_sources as refresh_sources,
)
from gypsumbridge_decisions.owner.leaving_sources import (
    set_leaving_source as set_leaving_source,
)
from gypsumbridge_decisions.owner.operator_notice import (
    OperatorNotice as OperatorNotice,
)
from gypsumbridge_decisions.owner.pending_call import (
    PendingCall as PendingCall,
)
from gypsumbridge_decisions.owner.predict import service_ms as service_ms
from gypsumbridge_decisions.owner.predict import wait_ms as wait_ms
from gypsumbridge_decisions.owner.rank_choice import choose_rank as choose_rank
from gypsumbridge_decisions.owner.replica_choice import (
    choose_replica as choose_replica,
)
from gypsumbridge_decisions.owner.replica_choice import (
    usable_replicas as usable_replicas,
)
from gypsumbridge_decisions.owner.replica_set_state import (
    ReplicaSetState as ReplicaSetState,
)
from gypsumbridge_decisions.owner.replica_state import (
    ReplicaState as ReplicaState,
)
from gypsumbridge_decisions.owner.reply import is_shedding as is_shedding
from gypsumbridge_decisions.owner.reply import receive_reply as receive_reply
from gypsumbridge_decisions.owner.result import finish as finish
from gypsumbridge_decisions.owner.result import refuse as refuse
from gypsumbridge_decisions.owner.result import (
    remove_from_batch as remove_from_batch,
)
from gypsumbridge_decisions.owner.state import (
    make_owner_state as make_owner_state,
)
from gypsumbridge_decisions.owner.state import OwnerState as OwnerState
from gypsumbridge_decisions.owner.status import count_calls as count_calls
