"""Plans queries, merges their parts and decides when they are complete."""

from gypsumbridge_decisions.front.caller_shares import (
    CallerShares as CallerShares,
)
from gypsumbridge_decisions.front.check_latency import (
    CheckLatency as CheckLatency,
)
from gypsumbridge_decisions.front.command import Command as Command
from gypsumbridge_decisions.front.finishing import cancel_query as cancel_query
from gypsumbridge_decisions.front.finishing import check_answer as check_answer
from gypsumbridge_decisions.front.finishing import finish as finish
from gypsumbridge_decisions.front.finishing import (
    finish_if_done as finish_if_done,
)
from gypsumbridge_decisions.front.finishing import (
    handle_query_timer as handle_query_timer,
)
from gypsumbridge_decisions.front.handler import handle as handle
from gypsumbridge_decisions.front.hedge_budget import (
    HedgeBudget as HedgeBudget,
)
from gypsumbridge_decisions.front.levels import Levels as Levels
from gypsumbridge_decisions.front.liveness import (
    check_liveness as check_liveness,
)
from gypsumbridge_decisions.front.liveness import (
    receive_alive as receive_alive,
)
from gypsumbridge_decisions.front.liveness import resend as resend
from gypsumbridge_decisions.front.liveness_timer import (
    LivenessTimer as LivenessTimer,
)
from gypsumbridge_decisions.front.liveness_timer import (
    make_timer as make_timer,
)
from gypsumbridge_decisions.front.membership_change import (
    update_members as update_members,
)
from gypsumbridge_decisions.front.merge import receive_parts as receive_parts
from gypsumbridge_decisions.front.plan import (
    admitting_share as admitting_share,
)
from gypsumbridge_decisions.front.plan import start_query as start_query
from gypsumbridge_decisions.front.query_timer import QueryTimer as QueryTimer
from gypsumbridge_decisions.front.running_query import (
    RunningQuery as RunningQuery,
)
from gypsumbridge_decisions.front.send import cancel_batches as cancel_batches
from gypsumbridge_decisions.front.send import send_batch as send_batch
from gypsumbridge_decisions.front.send import send_pending as send_pending
from gypsumbridge_decisions.front.sent_batch import SentBatch as SentBatch
from gypsumbridge_decisions.front.state import FrontState as FrontState
from gypsumbridge_decisions.front.state import (
    make_front_state as make_front_state,
)
from gypsumbridge_decisions.front.status import count_queries as count_queries
