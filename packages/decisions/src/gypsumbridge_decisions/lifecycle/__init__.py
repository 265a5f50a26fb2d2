"""The lifecycle of a node, from serving to a graceful stop."""

from gypsumbridge_decisions.lifecycle.answer_bound_timer import (
    AnswerBoundTimer as AnswerBoundTimer,
)
from gypsumbridge_decisions.lifecycle.balancer_lag_timer import (
    BalancerLagTimer as BalancerLagTimer,
)
from gypsumbridge_decisions.lifecycle.close_port import ClosePort as ClosePort
from gypsumbridge_decisions.lifecycle.command import Command as Command
from gypsumbridge_decisions.lifecycle.exit_node import ExitNode as ExitNode
from gypsumbridge_decisions.lifecycle.flush_timer import (
    FlushTimer as FlushTimer,
)
from gypsumbridge_decisions.lifecycle.handler import handle as handle
from gypsumbridge_decisions.lifecycle.phase import Phase as Phase
from gypsumbridge_decisions.lifecycle.poll_timer import PollTimer as PollTimer
from gypsumbridge_decisions.lifecycle.serving import (
    combine_conditions as combine_conditions,
)
from gypsumbridge_decisions.lifecycle.serving import (
    update_serving as update_serving,
)
from gypsumbridge_decisions.lifecycle.state import (
    LifecycleState as LifecycleState,
)
from gypsumbridge_decisions.lifecycle.state import (
    make_lifecycle_state as make_lifecycle_state,
)
from gypsumbridge_decisions.lifecycle.stop_bound_timer import (
    StopBoundTimer as StopBoundTimer,
)
from gypsumbridge_decisions.lifecycle.stop_requested import (
    StopRequested as StopRequested,
)
from gypsumbridge_decisions.lifecycle.stopping import (
    end_requests as end_requests,
)
from gypsumbridge_decisions.lifecycle.stopping import (
    poll_in_flight as poll_in_flight,
)
from gypsumbridge_decisions.lifecycle.stopping import (
    receive_report as receive_report,
)
from gypsumbridge_decisions.lifecycle.stopping import (
    request_stop as request_stop,
)
from gypsumbridge_decisions.lifecycle.stopping import (
    start_announcing as start_announcing,
)
from gypsumbridge_decisions.lifecycle.stopping import (
    start_draining as start_draining,
)
from gypsumbridge_decisions.lifecycle.stopping import (
    stop_process as stop_process,
)
