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
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.tasks import http_rules
from gypsumbridge_node.tasks import mutation_http
from gypsumbridge_wire import caller

RUN_ID_BYTES = 6


def start_caller_http_task(
    runtime: runtimes.Runtime, root: resource.Resource
) -> None:
    """Turn HTTP requests into queries and answers into responses."""
    waiting: dict[str, Any] = {}
    next_id = make_id_source(runtime.settings.node.node_id)
    boxes = runtime.boxes

    def forget(query_id: str) -> None:
        if waiting.pop(query_id, None) is not None:
            boxes.front.put(messages.QueryGone(query_id))

    def accept(request: Any) -> Any:
        query_id = next_id()
        try:
            http_rules.check_request(request, b'POST')
            query = caller.decode_query(request.content.read(), query_id)
        except errors.RequestError as error:
            runtime.metrics.count('caller.rejected')
            refusal = caller.make_refusal(error, query_id)
            return http_rules.respond(request, caller.encode_refusal(refusal))
        waiting[query_id] = request
        request.notifyFinish().addErrback(lambda _: forget(query_id))
        boxes.front.put(query)
        return server.NOT_DONE_YET

    versions = resource.Resource()
    versions.putChild(b'query', function_resource.FunctionResource(accept))
    mutations = mutation_http.make_handler(runtime, waiting, next_id)
    versions.putChild(
        b'mutations', function_resource.FunctionResource(mutations)
    )
    root.putChild(b'v1', versions)
    boxes.caller_http.start(make_replier(waiting))


def make_replier(waiting: dict[str, Any]) -> Callable[[Any], None]:
    """Return a function that answers the request a message is for."""

    def reply(request_id: str, encoded: tuple[int, bytes]) -> None:
        request = waiting.pop(request_id, None)
        if request is None:
            return
        request.write(http_rules.respond(request, encoded))
        request.finish()

    def handle(message: Any) -> None:
        match message:
            case messages.Answer():
                reply(message.query_id, caller.encode_answer(message))
            case messages.Refusal():
                reply(message.query_id, caller.encode_refusal(message))
            case messages.MutationAnswer():
                encoded = caller.encode_mutation_answer(message)
                reply(message.mutation_id, encoded)
            case messages.ClaimReport():
                encoded = caller.encode_claim_report(message)
                reply(message.lookup_id, encoded)

    return handle


def make_id_source(node_id: str) -> Callable[[], str]:
    """Return a function that makes ids unique across nodes and restarts."""
    run_id = secrets.token_hex(RUN_ID_BYTES)
    numbers = itertools.count(1)

    def next_id() -> str:
        return f'{node_id}-{run_id}-{next(numbers)}'

    return next_id
