"""HTTP requests about mutations."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.web import server

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_node import json_request
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_wire import caller


def make_handler(
    runtime: runtimes.Runtime,
    waiting: dict[str, Any],
    next_id: Callable[[], str],
) -> Callable[[Any], Any]:
    """Return the function that handles requests under /v1/mutations.

    The caller_http task sends the response to the request in `waiting`. A
    mutation continues when its caller disconnects, since it may have run.
    """
    mutation_mailbox = runtime.mailboxes.mutation

    def accept(request: Any) -> Any:
        own_id = next_id()
        try:
            message = decode(request, own_id)
        except errors.GypsumbridgeError as error:
            runtime.metrics.count('caller.rejected')
            # An earlier request with the same key may have run the mutation.
            refusal = dataclasses.replace(
                caller.make_refusal(error, own_id),
                run_state=messages.RunState.OUTCOME_UNKNOWN,
            )
            return json_request.respond(
                request, caller.encode_refusal(refusal)
            )
        waiting[own_id] = request
        request.notifyFinish().addErrback(lambda _: waiting.pop(own_id, None))
        mutation_mailbox.put(message)
        return server.NOT_DONE_YET

    return accept


def decode(request: Any, own_id: str) -> Any:
    """Return the message for the path and body of a request."""
    path = [part.decode('utf-8', 'replace') for part in request.postpath]
    if not path or path == ['']:
        json_request.check(request, (b'POST',))
        return caller.decode_mutation(request.content.read(), own_id)
    if len(path) == 1:
        json_request.check(request, (b'GET',))
        return caller.make_lookup(path[0], own_id)
    json_request.check(request, (b'POST',))
    if len(path) != 2 or path[1] != 'resolve':
        raise errors.RequestError(
            f'the path has {len(path)} parts after mutations',
            'use /v1/mutations/{key}/resolve, with the key percent-encoded',
        )
    return caller.decode_resolve(request.content.read(), path[0], own_id)
