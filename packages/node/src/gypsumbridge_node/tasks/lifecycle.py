"""The task that starts and stops the node."""

from collections.abc import Callable
from collections.abc import Iterable
import signal
from typing import Any

from twisted.web import resource

from gypsumbridge_decisions import messages
from gypsumbridge_node import function_resource
from gypsumbridge_node import runtime as runtimes

STOP = 'stop'
EXIT = 'exit'


class LifecycleState:
    """Whether the node is ready and whether it is stopping."""

    def __init__(self) -> None:
        self.ready = False
        self.conditions: dict[str, messages.ServingCondition] = {}
        self.stopping = False


def combine(
    conditions: Iterable[messages.ServingCondition],
) -> messages.ServingChanged:
    """Return the first refusal, or the earliest expiry of all sources."""
    valid_until_ms = messages.NO_EXPIRY_MS
    for condition in conditions:
        if condition.refusal:
            return messages.ServingChanged(condition.refusal)
        valid_until_ms = min(valid_until_ms, condition.valid_until_ms)
    return messages.ServingChanged(messages.MissingReason.NONE, valid_until_ms)


def start_lifecycle_task(
    runtime: runtimes.Runtime,
    root: resource.Resource,
    stop_reactor: Callable[[], None],
) -> None:
    """Serve health checks, and stop gracefully on SIGTERM."""
    state = LifecycleState()
    boxes = runtime.boxes

    def healthz(request: Any) -> bytes:
        return b'{"alive":true}\n'

    def readyz(request: Any) -> bytes:
        ready = state.ready and not state.stopping
        request.setResponseCode(200 if ready else 503)
        return b'{"ready":true}\n' if ready else b'{"ready":false}\n'

    def publish() -> None:
        changed = combine(state.conditions.values())
        boxes.front.put(changed)
        boxes.owner.put(changed)
        boxes.mutation.put(changed)
        ready = not changed.refusal
        if ready != state.ready:
            state.ready = ready
            runtime.logger.info(
                'node ready' if ready else 'node not ready',
                extra={'reason': str(changed.refusal)},
            )

    def handle(message: Any) -> None:
        if isinstance(message, messages.ServingCondition):
            state.conditions[message.source] = message
            publish()
            return
        if message == STOP:
            if state.stopping:
                runtime.logger.warning('second signal, stopping at once')
                stop_reactor()
                return
            state.stopping = True
            runtime.logger.info('node stopping')
            lag_ms = runtime.settings.timing.balancer_lag_ms
            boxes.lifecycle.put_later(lag_ms, EXIT)
            return
        stop_reactor()

    def on_signal(number: int, frame: Any) -> None:
        runtime.reactor.callFromThread(boxes.lifecycle.put, STOP)

    root.putChild(b'healthz', function_resource.FunctionResource(healthz))
    root.putChild(b'readyz', function_resource.FunctionResource(readyz))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    boxes.lifecycle.start(handle)
