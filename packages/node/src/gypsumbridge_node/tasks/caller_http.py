"""The task that owns the callers' HTTP connections."""

from collections.abc import Callable
import itertools
import secrets
from typing import Any

from twisted.web import resource
from twisted.web import server

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_node import function_resource
from gypsumbridge_node import json_request
from gypsumbridge_node import keep_alive
from gypsumbridge_node import path_resource
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import task_status
from gypsumbridge_node.tasks import mutation_http
from gypsumbridge_wire import caller

RUN_ID_BYTES = 6


class CallerState:
    """Requests that wait for a response, by the id that this node gave them.

    While `closing_connections` is set, each response closes its connection.
    """

    def __init__(self) -> None:
        self.waiting: dict[str, Any] = {}
        self.closing_connections = False


def start_caller_http_task(
    runtime: runtimes.Runtime,
    root: resource.Resource,
    count_requests: Callable[[], int],
) -> None:
    """Convert HTTP requests to queries, and answers to HTTP responses.

    `count_requests` returns the number of unanswered HTTP requests,
    including those whose body is still being received.
    """
    state = CallerState()
    next_id = make_id_source(runtime.settings.node.node_id)
    v1_resource = path_resource.PathResource()
    for path, accept in (
        (b'query', make_query_handler(runtime, state, next_id)),
        (
            b'mutations',
            mutation_http.make_handler(runtime, state.waiting, next_id),
        ),
    ):
        v1_resource.putChild(path, function_resource.FunctionResource(accept))
    root.putChild(b'v1', v1_resource)
    runtime.mailboxes.caller_http.start(
        task_status.with_status(
            make_message_handler(runtime, state, count_requests),
            lambda: {'waiting_requests': len(state.waiting)},
        )
    )


def make_query_handler(
    runtime: runtimes.Runtime, state: CallerState, next_id: Callable[[], str]
) -> Callable[[Any], Any]:
    """Return the function that handles requests under /v1/query."""
    front = runtime.mailboxes.front
    max_deadline_ms = runtime.settings.limits.max_deadline_ms

    def discard(query_id: str) -> None:
        if state.waiting.pop(query_id, None) is not None:
            front.put(messages.QueryGone(query_id))

    def accept(request: Any) -> Any:
        query_id = next_id()
        try:
            json_request.check(request, (b'POST',))
            query = caller.decode_query(
                request.content.read(), query_id, max_deadline_ms
            )
        except errors.GypsumbridgeError as error:
            runtime.metrics.count('caller.rejected')
            refusal = caller.make_refusal(error, query_id)
            return respond(state, request, caller.encode_refusal(refusal))
        state.waiting[query_id] = request
        request.notifyFinish().addErrback(lambda _: discard(query_id))
        front.put(query)
        return server.NOT_DONE_YET

    return accept


def make_message_handler(
    runtime: runtimes.Runtime,
    state: CallerState,
    count_requests: Callable[[], int],
) -> Callable[[Any], None]:
    """Return the function that handles the task's messages."""

    def handle(message: Any) -> None:
        match message:
            case messages.Answer():
                encoded = caller.encode_answer(message)
                reply(state, message.query_id, encoded)
            case messages.Refusal():
                encoded = caller.encode_refusal(message)
                reply(state, message.query_id, encoded)
            case messages.MutationAnswer():
                encoded = caller.encode_mutation_answer(message)
                reply(state, message.mutation_id, encoded)
            case messages.ClaimReport():
                encoded = caller.encode_claim_report(message)
                reply(state, message.lookup_id, encoded)
            case messages.EndKeepAlive():
                state.closing_connections = True
            case messages.InFlightQuery():
                count = max(len(state.waiting), count_requests())
                report = messages.InFlightReport('caller_http', count)
                runtime.mailboxes.lifecycle.put(report)

    return handle


def reply(
    state: CallerState, request_id: str, encoded: tuple[int, bytes]
) -> None:
    """Respond to a waiting request, unless its caller has disconnected."""
    request = state.waiting.pop(request_id, None)
    if request is None:
        return
    request.write(respond(state, request, encoded))
    request.finish()


def respond(
    state: CallerState, request: Any, encoded: tuple[int, bytes]
) -> bytes:
    """Set status and headers and return the body."""
    if state.closing_connections:
        keep_alive.close_after_response(request)
    return json_request.respond(request, encoded)


def make_id_source(node_id: str) -> Callable[[], str]:
    """Return a function that makes ids unique over nodes and restarts."""
    run_id = secrets.token_hex(RUN_ID_BYTES)
    numbers = itertools.count(1)

    def next_id() -> str:
        return f'{node_id}-{run_id}-{next(numbers)}'

    return next_id
