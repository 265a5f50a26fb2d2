"""Planning a query, merging its parts and deciding when it is complete."""

from gypsumbridge_decisions.front.caller_shares import (
    CallerShares as CallerShares,
)
from gypsumbridge_decisions.front.check_times import CheckTimes as CheckTimes
from gypsumbridge_decisions.front.command import Command as Command
from gypsumbridge_decisions.front.finishing import check_answer as check_answer
from gypsumbridge_decisions.front.finishing import drop as drop
from gypsumbridge_decisions.front.finishing import finish as finish
from gypsumbridge_decisions.front.finishing import (
    finish_if_done as finish_if_done,
)
from gypsumbridge_decisions.front.finishing import time_out as time_out
from gypsumbridge_decisions.front.handler import handle as handle
from gypsumbridge_decisions.front.hedge_budget import (
    HedgeBudget as HedgeBudget,
)
from gypsumbridge_decisions.front.levels import Levels as Levels
from gypsumbridge_decisions.front.liveness_timer import (
    LivenessTimer as LivenessTimer,
)
from gypsumbridge_decisions.front.liveness_timer import (
    make_timer as make_timer,
)
from gypsumbridge_decisions.front.membership_change import (
    change_members as change_members,
)
from gypsumbridge_decisions.front.merge import receive_parts as receive_parts
from gypsumbridge_decisions.front.plan import (
    admitting_share as admitting_share,
)
from gypsumbridge_decisions.front.plan import arrive as arrive
from gypsumbridge_decisions.front.query_timer import QueryTimer as QueryTimer
from gypsumbridge_decisions.front.running_query import (
    RunningQuery as RunningQuery,
)
from gypsumbridge_decisions.front.send import cancel_batches as cancel_batches
from gypsumbridge_decisions.front.send import send_batch as send_batch
from gypsumbridge_decisions.front.send import send_pending as send_pending
from gypsumbridge_decisions.front.sent_batch import SentBatch as SentBatch
from gypsumbridge_decisions.front.silence import check_silence as check_silence
from gypsumbridge_decisions.front.silence import receive_sign as receive_sign
from gypsumbridge_decisions.front.silence import resend as resend
from gypsumbridge_decisions.front.state import FrontState as FrontState
from gypsumbridge_decisions.front.state import (
    make_front_state as make_front_state,
)
from gypsumbridge_decisions.front.status import count_queries as count_queries
