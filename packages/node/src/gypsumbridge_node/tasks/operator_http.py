"""The task that serves the operators' resource API."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer
from twisted.python import failure
from twisted.web import resource
from twisted.web import server

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_node import function_resource
from gypsumbridge_node import json_request
from gypsumbridge_node import keep_alive
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.operator_api import calls as operator_calls
from gypsumbridge_node.operator_api import node_status
from gypsumbridge_node.operator_api import read
from gypsumbridge_node.operator_api import state as states
from gypsumbridge_node.operator_api import write
from gypsumbridge_wire import operator

# A deployment has few operators, so more concurrent requests are a fault.
MAX_RUNNING_REQUESTS = 64
DEFAULT_ACCEPT_WAIT_MS = 5_000
DEFAULT_WATCH_WAIT_MS = 10_000
MAX_WAIT_MS = 30_000
# Ends a watch on any revision.
ABOVE_ALL_REVISIONS = 2**63

Work = Coroutine[Any, Any, read.Reply]


def start_operator_http_task(
    runtime: runtimes.Runtime, v1_resource: resource.Resource
) -> None:
    """Serve `resources` and `nodes` under the path of the API version."""
    state = states.OperatorState()
    calls = operator_calls.make_calls(runtime, state)
    run = make_runner(runtime, state)

    def serve_resources(request: Any) -> Any:
        return run(request, lambda: route(runtime, state, calls, request))

    def serve_nodes(request: Any) -> Any:
        def work() -> Work:
            json_request.check(request, (b'GET',))
            return node_status.get_status(runtime, state, calls)

        return run(request, work)

    def handle(message: Any) -> None:
        if isinstance(message, messages.InFlightQuery):
            # A stop does not wait for long polls to time out.
            states.end_watches(state, ABOVE_ALL_REVISIONS)
            report = messages.InFlightReport('operator_http', state.running)
            runtime.mailboxes.lifecycle.put(report)
            return
        states.receive(state, message)

    for path, serve in (
        (b'resources', serve_resources),
        (b'nodes', serve_nodes),
    ):
        v1_resource.putChild(path, function_resource.FunctionResource(serve))
    runtime.mailboxes.operator_http.start(handle)


def make_runner(
    runtime: runtimes.Runtime, state: states.OperatorState
) -> Callable[[Any, Callable[[], Work]], Any]:
    """Return a function that runs a request's work and sends the response."""

    def run(request: Any, start: Callable[[], Work]) -> Any:
        try:
            if state.running >= MAX_RUNNING_REQUESTS:
                raise errors.BusyError(
                    f"{MAX_RUNNING_REQUESTS} operators' requests are running",
                    'try again when they have ended',
                )
            work = start()
        except errors.GypsumbridgeError as error:
            return respond(request, operator.encode_error(error))
        state.running += 1
        running = defer.Deferred.fromCoroutine(work)
        running.addErrback(lambda reason: encode_failure(runtime, reason))
        running.addBoth(lambda reply: finish(request, reply))
        # The work is cancelled when the client disconnects.
        request.notifyFinish().addErrback(lambda _: running.cancel())
        return server.NOT_DONE_YET

    def finish(request: Any, reply: read.Reply | None) -> None:
        state.running -= 1
        if reply is not None and request.channel is not None:
            request.write(respond(request, reply))
            request.finish()

    def respond(request: Any, reply: read.Reply) -> bytes:
        if state.closing_connections:
            keep_alive.close_after_response(request)
        return json_request.respond(request, reply)

    return run


def route(
    runtime: runtimes.Runtime,
    state: states.OperatorState,
    calls: operator_calls.Calls,
    request: Any,
) -> Work:
    """Return the coroutine that handles a request, not yet started.

    Raises a GypsumbridgeError for an invalid request.
    """
    kind, name = operator.decode_path(json_request.path(request))
    if kind is None:
        json_request.check(request, (b'GET',))
        after_revision = json_request.number(
            request, 'watch_from', None, 2**62
        )
        wait_ms = json_request.number(
            request, 'wait_ms', DEFAULT_WATCH_WAIT_MS, MAX_WAIT_MS
        )
        return read.watch(runtime, calls, after_revision, wait_ms)
    if not name:
        json_request.check(request, (b'GET',))
        return read.get_all(calls, kind)
    json_request.check(request, (b'GET', b'PUT', b'DELETE'))
    if request.method == b'GET':
        return read.get_one(calls, kind, name)
    expected_revision = operator.decode_expected_revision(
        json_request.header(request, 'If-Match'),
        json_request.header(request, 'If-None-Match'),
    )
    wait_ms = json_request.number(
        request, 'wait_ms', DEFAULT_ACCEPT_WAIT_MS, MAX_WAIT_MS
    )
    if request.method == b'DELETE':
        return write.delete(
            runtime, state, calls, kind, name, expected_revision, wait_ms
        )
    spec = operator.decode_spec(kind, name, request.content.read())
    return write.put(runtime, state, calls, spec, expected_revision, wait_ms)


def encode_failure(
    runtime: runtimes.Runtime, reason: failure.Failure
) -> read.Reply | None:
    """Return the response for failed work, or None if it was cancelled."""
    if reason.check(defer.CancelledError):
        return None
    if reason.check(errors.GypsumbridgeError):
        return operator.encode_error(reason.value)
    runtime.logger.error(
        'operator request failed', extra={'error': reason.getTraceback()}
    )
    return operator.encode_error(
        errors.InvariantError(
            'the node failed to handle the request',
            'read the resource before trying again, and report the log line'
            ' "operator request failed"',
        )
    )
