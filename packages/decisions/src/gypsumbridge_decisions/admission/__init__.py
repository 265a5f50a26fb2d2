"""Requests that wait at a node for room at the searchers of a service."""

from gypsumbridge_decisions.admission.deferral import Deferral as Deferral
from gypsumbridge_decisions.admission.fair_queue import FairQueue as FairQueue
from gypsumbridge_decisions.admission.planned_part import (
    PlannedPart as PlannedPart,
)
from gypsumbridge_decisions.admission.planning import (
    extrapolate as extrapolate,
)
from gypsumbridge_decisions.admission.planning import (
    is_newly_late as is_newly_late,
)
from gypsumbridge_decisions.admission.planning import plan_part as plan_part
from gypsumbridge_decisions.admission.planning import plan_parts as plan_parts
from gypsumbridge_decisions.admission.planning import plan_queue as plan_queue
from gypsumbridge_decisions.admission.progress import Progress as Progress
from gypsumbridge_decisions.admission.queue_entry import (
    QueueEntry as QueueEntry,
)
from gypsumbridge_decisions.admission.rank_credits import (
    choose_by_credit as choose_by_credit,
)
from gypsumbridge_decisions.admission.rank_credits import (
    settle_credits as settle_credits,
)
from gypsumbridge_decisions.admission.return_times import (
    ReturnTimes as ReturnTimes,
)
from gypsumbridge_decisions.admission.room_queue import (
    RANK_FLOOR as RANK_FLOOR,
)
from gypsumbridge_decisions.admission.room_queue import RoomQueue as RoomQueue
from gypsumbridge_decisions.admission.room_state import RoomState as RoomState
from gypsumbridge_decisions.admission.searcher_load import (
    SearcherLoad as SearcherLoad,
)
from gypsumbridge_decisions.admission.waiting_part import (
    WaitingPart as WaitingPart,
)
