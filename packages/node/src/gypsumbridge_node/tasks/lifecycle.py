"""The task that starts and stops the node."""

from collections.abc import Callable
import signal
from typing import Any

from twisted.web import resource

from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import messages
from gypsumbridge_node import execute as executors
from gypsumbridge_node import function_resource
from gypsumbridge_node import keep_alive
from gypsumbridge_node import process_controls
from gypsumbridge_node import runtime as runtimes

EXIT_CLEAN = 0
EXIT_CUT_SHORT = 1


def start_lifecycle_task(
    runtime: runtimes.Runtime,
    root: resource.Resource,
    controls: process_controls.ProcessControls,
) -> None:
    """Serve health checks, and stop gracefully on SIGTERM or SIGINT."""
    timing = runtime.settings.timing
    state = lifecycle.make_lifecycle_state(
        timing.balancer_lag_ms, timing.stop_bound_ms
    )
    mailboxes = runtime.mailboxes
    execute = make_executor(runtime, controls)

    def healthz(request: Any) -> bytes:
        return b'{"alive":true}\n'

    def readyz(request: Any) -> bytes:
        if state.phase != lifecycle.Phase.SERVING:
            keep_alive.close_after_response(request)
        request.setResponseCode(200 if state.ready else 503)
        return b'{"ready":true}\n' if state.ready else b'{"ready":false}\n'

    def handle(message: Any) -> None:
        execute(lifecycle.handle(state, message, runtime.clock.now_ms()))

    def on_signal(number: int, frame: Any) -> None:
        runtime.reactor.callFromThread(
            mailboxes.lifecycle.put, lifecycle.StopRequested()
        )

    root.putChild(b'healthz', function_resource.FunctionResource(healthz))
    root.putChild(b'readyz', function_resource.FunctionResource(readyz))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    mailboxes.lifecycle.start(handle)


def make_executor(
    runtime: runtimes.Runtime, controls: process_controls.ProcessControls
) -> Any:
    """Return a function that executes the lifecycle's commands."""
    mailboxes = runtime.mailboxes

    def publish(changed: messages.ServingChanged) -> None:
        mailboxes.front.put(changed)
        mailboxes.owner.put(changed)
        mailboxes.operator_http.put(changed)
        mailboxes.mutation.put(changed)

    def query_in_flight(query: messages.InFlightQuery) -> None:
        for task_mailbox in (
            mailboxes.caller_http,
            mailboxes.front,
            mailboxes.owner,
            mailboxes.mutation,
            mailboxes.operator_http,
        ):
            task_mailbox.put(query)

    def end_keep_alive(command: messages.EndKeepAlive) -> None:
        mailboxes.caller_http.put(command)
        mailboxes.operator_http.put(command)

    def end_requests(command: messages.EndRequests) -> None:
        # Queries end by their deadlines, and a mutation in flight is looked
        # up by its key, so there is nothing to answer early.
        pass

    def close_port(command: lifecycle.ClosePort) -> None:
        controls.close_port()

    return executors.make_executor(
        runtime,
        mailboxes.lifecycle,
        {
            messages.ServingChanged: publish,
            messages.EndKeepAlive: end_keep_alive,
            messages.EndRequests: end_requests,
            messages.AnnounceLeaving: mailboxes.membership.put,
            messages.LeaveFleet: mailboxes.membership.put,
            messages.InFlightQuery: query_in_flight,
            lifecycle.ClosePort: close_port,
            lifecycle.ExitNode: make_exit(runtime, controls),
        },
    )


def make_exit(
    runtime: runtimes.Runtime, controls: process_controls.ProcessControls
) -> Callable[[lifecycle.ExitNode], None]:
    """Return a function that logs the reason for the exit and exits."""

    def end(command: lifecycle.ExitNode) -> None:
        extra = {'reason': command.reason}
        if command.clean:
            runtime.logger.info(
                'node stopping, nothing in flight', extra=extra
            )
            controls.exit_process(EXIT_CLEAN)
            return
        runtime.logger.warning(
            'node stopping, work in flight is cut short', extra=extra
        )
        controls.exit_process(EXIT_CUT_SHORT)

    return end
