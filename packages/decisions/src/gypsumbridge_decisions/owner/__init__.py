"""Queues, slots, admission, replica choice and hedges of replica sets."""

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
from gypsumbridge_decisions.owner.dispatch_check import check as check
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
from gypsumbridge_decisions.owner.host_news_timer import (
    HostNewsTimer as HostNewsTimer,
)
from gypsumbridge_decisions.owner.latency import Latency as Latency
from gypsumbridge_decisions.owner.leaving_handover import (
    hand_over as hand_over,
)
from gypsumbridge_decisions.owner.leaving_handover import (
    take_members as take_members,
)
from gypsumbridge_decisions.owner.leaving_marks import mark as mark
from gypsumbridge_decisions.owner.leaving_marks import refresh as refresh
from gypsumbridge_decisions.owner.leaving_news import (
    change_members as change_members,
)
from gypsumbridge_decisions.owner.leaving_news import (
    check_health as check_health,
)
from gypsumbridge_decisions.owner.leaving_news import (
    compare_catalogs as compare_catalogs,
)
from gypsumbridge_decisions.owner.leaving_news import (
    end_host_news as end_host_news,
)
from gypsumbridge_decisions.owner.leaving_news import (
    find_endpoint as find_endpoint,
)
from gypsumbridge_decisions.owner.leaving_news import (
    find_holders as find_holders,
)
from gypsumbridge_decisions.owner.leaving_news import (
    take_health as take_health,
)
from gypsumbridge_decisions.owner.leaving_news import take_hosts as take_hosts
from gypsumbridge_decisions.owner.leaving_news import take_news as take_news
from gypsumbridge_decisions.owner.leaving_news import take_reply as take_reply
from gypsumbridge_decisions.owner.leaving_news import tell as tell
from gypsumbridge_decisions.owner.operator_news import (
    OperatorNews as OperatorNews,
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
from gypsumbridge_decisions.owner.result import forget as forget
from gypsumbridge_decisions.owner.result import refuse as refuse
from gypsumbridge_decisions.owner.state import (
    make_owner_state as make_owner_state,
)
from gypsumbridge_decisions.owner.state import OwnerState as OwnerState
from gypsumbridge_decisions.owner.status import count_calls as count_calls
