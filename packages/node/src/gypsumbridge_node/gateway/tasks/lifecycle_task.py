"""The task that reports readiness and stops the gateway."""

from collections.abc import Callable
import signal
from typing import Any

from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import messages
from gypsumbridge_node import execute as executors
from gypsumbridge_node import process_controls
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway.tasks import delegated
from gypsumbridge_node.gateway.tasks import ingress
from gypsumbridge_node.tasks import lifecycle as node_lifecycle

# The process ends this long before the supervisor would kill it.
STOP_MARGIN_MS = 400


def start_lifecycle_task(
    runtime: runtimes.GatewayRuntime,
    controls: process_controls.ProcessControls,
) -> Callable[[], bool]:
    """Stop gracefully on SIGTERM; return whether the node is ready."""
    stop = runtime.settings.stop
    state = lifecycle.make_lifecycle_state(
        stop.balancer_lag_ms,
        int(stop.grace_s * 1000) - STOP_MARGIN_MS,
        frozenset({ingress.SOURCE, delegated.SOURCE}),
    )
    mailboxes = runtime.mailboxes

    def announce(command: messages.AnnounceLeaving) -> None:
        # Gateways do not track each other, so there is no node to notify.
        mailboxes.lifecycle.put(messages.LeavingAnnounced())

    def leave(command: messages.LeaveFleet) -> None:
        runtime.logger.info('all caller connections closed')

    def close_port(command: lifecycle.ClosePort) -> None:
        controls.close_port()

    def query_in_flight(query: messages.InFlightQuery) -> None:
        mailboxes.ingress.put(query)
        mailboxes.delegated.put(query)

    execute = executors.make_executor(
        runtime,
        mailboxes.lifecycle,
        {
            messages.ServingChanged: mailboxes.forwarding.put,
            messages.EndKeepAlive: mailboxes.ingress.put,
            messages.EndRequests: mailboxes.forwarding.put,
            messages.AnnounceLeaving: announce,
            messages.LeaveFleet: leave,
            messages.InFlightQuery: query_in_flight,
            lifecycle.ClosePort: close_port,
            lifecycle.ExitNode: node_lifecycle.make_exit(runtime, controls),
        },
    )

    def handle(message: Any) -> None:
        execute(lifecycle.handle(state, message, runtime.clock.now_ms()))

    handle_signals(runtime)
    mailboxes.lifecycle.start(handle)
    return lambda: state.ready


def handle_signals(runtime: runtimes.GatewayRuntime) -> None:
    """Stop on SIGTERM and SIGINT, and log SIGHUP."""

    def on_stop(number: int, frame: Any) -> None:
        runtime.reactor.callFromThread(
            runtime.mailboxes.lifecycle.put, lifecycle.StopRequested()
        )

    def on_reload(number: int, frame: Any) -> None:
        runtime.reactor.callFromThread(
            runtime.logger.info, 'SIGHUP ignored; settings are read at start'
        )

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
