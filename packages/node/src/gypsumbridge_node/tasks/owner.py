"""The task that manages the queues and slots of replica sets."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_node import execute as executors
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import task_status


def start_owner_task(runtime: runtimes.Runtime) -> None:
    """Run the owner's decisions on the task's mailbox."""
    state = owner.make_owner_state(runtime.settings.node.node_id)
    to_endpoint = runtime.mailboxes.endpoint.put
    execute = executors.make_executor(
        runtime,
        runtime.mailboxes.owner,
        {
            messages.ToPeer: runtime.mailboxes.peer_link.put,
            messages.EndpointRequest: to_endpoint,
            messages.EndpointCancel: to_endpoint,
            messages.EndpointCheck: to_endpoint,
            messages.InFlightReport: runtime.mailboxes.lifecycle.put,
        },
    )

    def handle(message: Any) -> None:
        execute(owner.handle(state, message, runtime.clock.now_ms()))

    handle_with_status = task_status.with_status(
        handle, lambda: owner.count_calls(state)
    )
    runtime.mailboxes.owner.start(handle_with_status)
