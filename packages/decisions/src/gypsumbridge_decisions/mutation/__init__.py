"""The claim protocol, which runs a mutation at most once."""

from gypsumbridge_decisions.mutation.answer_caller import (
    AnswerCaller as AnswerCaller,
)
from gypsumbridge_decisions.mutation.answer_kind import (
    AnswerKind as AnswerKind,
)
from gypsumbridge_decisions.mutation.answering import answer as answer
from gypsumbridge_decisions.mutation.answering import refuse as refuse
from gypsumbridge_decisions.mutation.answering import (
    refuse_held as refuse_held,
)
from gypsumbridge_decisions.mutation.arrival import fingerprint as fingerprint
from gypsumbridge_decisions.mutation.arrival import MAX_RUNNING as MAX_RUNNING
from gypsumbridge_decisions.mutation.arrival import (
    receive_mutation as receive_mutation,
)
from gypsumbridge_decisions.mutation.claim_run import ClaimRun as ClaimRun
from gypsumbridge_decisions.mutation.claiming import (
    receive_claim_read as receive_claim_read,
)
from gypsumbridge_decisions.mutation.claiming import (
    receive_claim_written as receive_claim_written,
)
from gypsumbridge_decisions.mutation.claiming import start_claim as start_claim
from gypsumbridge_decisions.mutation.command import Command as Command
from gypsumbridge_decisions.mutation.completing import (
    handle_deadline as handle_deadline,
)
from gypsumbridge_decisions.mutation.completing import (
    MAX_RECORDED_PAYLOAD_BYTES as MAX_RECORDED_PAYLOAD_BYTES,
)
from gypsumbridge_decisions.mutation.completing import (
    receive_record_written as receive_record_written,
)
from gypsumbridge_decisions.mutation.completing import (
    receive_result as receive_result,
)
from gypsumbridge_decisions.mutation.completing import resume as resume
from gypsumbridge_decisions.mutation.execution import apply_step as apply_step
from gypsumbridge_decisions.mutation.execution import (
    refuse_unclaimed as refuse_unclaimed,
)
from gypsumbridge_decisions.mutation.handler import handle as handle
from gypsumbridge_decisions.mutation.handler import (
    receive_store_reply as receive_store_reply,
)
from gypsumbridge_decisions.mutation.limits import Limits as Limits
from gypsumbridge_decisions.mutation.lookups import (
    receive_reply as receive_reply,
)
from gypsumbridge_decisions.mutation.lookups import (
    start_lookup as start_lookup,
)
from gypsumbridge_decisions.mutation.mutation_timer import (
    MutationTimer as MutationTimer,
)
from gypsumbridge_decisions.mutation.pending_lookup import (
    PendingLookup as PendingLookup,
)
from gypsumbridge_decisions.mutation.read_claim import ReadClaim as ReadClaim
from gypsumbridge_decisions.mutation.retry_later import (
    RetryLater as RetryLater,
)
from gypsumbridge_decisions.mutation.running_mutation import (
    RunningMutation as RunningMutation,
)
from gypsumbridge_decisions.mutation.send_mutation import (
    SendMutation as SendMutation,
)
from gypsumbridge_decisions.mutation.settling import (
    refuse_and_settle as refuse_and_settle,
)
from gypsumbridge_decisions.mutation.settling import release as release
from gypsumbridge_decisions.mutation.settling import (
    settle_claim as settle_claim,
)
from gypsumbridge_decisions.mutation.stage import Stage as Stage
from gypsumbridge_decisions.mutation.state import (
    make_mutation_state as make_mutation_state,
)
from gypsumbridge_decisions.mutation.state import (
    MutationState as MutationState,
)
from gypsumbridge_decisions.mutation.step import Action as Action
from gypsumbridge_decisions.mutation.step import Step as Step
from gypsumbridge_decisions.mutation.sweep_timer import (
    SweepTimer as SweepTimer,
)
from gypsumbridge_decisions.mutation.sweeping import BUCKETS as BUCKETS
from gypsumbridge_decisions.mutation.sweeping import LIST_TOKEN as LIST_TOKEN
from gypsumbridge_decisions.mutation.sweeping import (
    receive_list as receive_list,
)
from gypsumbridge_decisions.mutation.sweeping import sweep as sweep
from gypsumbridge_decisions.mutation.timer_kind import TimerKind as TimerKind
from gypsumbridge_decisions.mutation.timing import Timing as Timing
from gypsumbridge_decisions.mutation.write_claim import (
    WriteClaim as WriteClaim,
)
