"""The task that plans queries and merges their parts."""

from typing import Any

from gypsumbridge_decisions import front
from gypsumbridge_decisions import messages
from gypsumbridge_node import execute as executors
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import task_status


def start_front_task(runtime: runtimes.Runtime) -> None:
    """Run the front's decisions on the task's mailbox."""
    state = front.make_front_state(
        runtime.settings.node.node_id,
        runtime.settings.timing.owner_silence_ms,
    )
    deliver = runtime.mailboxes.caller_http.put
    execute = executors.make_executor(
        runtime,
        runtime.mailboxes.front,
        {
            messages.ToPeer: runtime.mailboxes.peer_link.put,
            messages.Answer: deliver,
            messages.Refusal: deliver,
            messages.InFlightReport: runtime.mailboxes.lifecycle.put,
        },
    )

    def handle(message: Any) -> None:
        execute(front.handle(state, message, runtime.clock.now_ms()))

    handle_with_status = task_status.with_status(
        handle, lambda: front.count_queries(state)
    )
    runtime.mailboxes.front.start(handle_with_status)
