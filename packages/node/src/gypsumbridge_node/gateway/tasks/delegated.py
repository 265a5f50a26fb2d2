"""The task that owns the connections of nodes that delegate requests."""

from collections.abc import Callable
import dataclasses
from typing import Any

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_node.gateway import ingress_state
from gypsumbridge_node.gateway import listening
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_node.gateway import server_factory
from gypsumbridge_wire import delegated_reply
from gypsumbridge_wire import delegation

SOURCE = 'delegated'
STATUS_PROCESSING = 102
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
# A caller's request of the maximum size, with its headers.
MAX_REQUEST_BYTES = 8 * 1_048_576


def start_delegated_task(runtime: runtimes.GatewayRuntime) -> None:
    """Accept delegated requests, and send the responses."""
    state = ingress_state.IngressState()

    def confirm(command: forwarding.AcceptDelegated) -> None:
        connection = state.connections.get(command.call_id)
        if connection is not None:
            connection.respond_interim(STATUS_PROCESSING)

    def refuse(command: forwarding.RefuseDelegated) -> None:
        reply(state, command.call_id, command.reason, None)

    def count_in_flight(query: messages.InFlightQuery) -> None:
        runtime.mailboxes.lifecycle.put(
            messages.InFlightReport(SOURCE, len(state.connections))
        )

    handlers: dict[type, Callable[[Any], None]] = {
        forwarding.CallerResponse: make_responder(runtime, state),
        forwarding.AcceptDelegated: confirm,
        forwarding.RefuseDelegated: refuse,
        messages.InFlightQuery: count_in_flight,
    }

    def handle(message: Any) -> None:
        handlers[type(message)](message)

    runtime.mailboxes.delegated.start(handle)
    if runtime.settings.listen.gathers:
        listen(runtime, state)


def listen(
    runtime: runtimes.GatewayRuntime, state: ingress_state.IngressState
) -> None:
    """Listen for the requests that other nodes delegate."""

    def on_request(
        connection: server_connection.ServerConnection,
        parsed: parsed_request.ParsedRequest,
    ) -> None:
        accept(runtime, state, connection, parsed)

    def on_disconnect(connection: server_connection.ServerConnection) -> None:
        call_id = state.call_ids.pop(connection, None)
        if call_id is None:
            return
        del state.connections[call_id]
        del state.delegation_ids[call_id]
        runtime.mailboxes.forwarding.put(
            forwarding.CallerDisconnected(call_id)
        )

    limits = forwarding.IngressLimits(max_body_bytes=MAX_REQUEST_BYTES)
    factory = server_factory.make_factory(
        on_request,
        on_disconnect,
        lambda: limits,
        lambda: False,
        runtime.resources,
    )
    listening.listen(runtime, runtime.settings.listen.gathers, factory)


def accept(
    runtime: runtimes.GatewayRuntime,
    state: ingress_state.IngressState,
    connection: server_connection.ServerConnection,
    parsed: parsed_request.ParsedRequest,
) -> None:
    """Decode a delegated request and pass it to the forwarding task."""
    try:
        delegated = delegation.decode_request(parsed.body)
    except errors.FrameError as error:
        runtime.logger.error(
            'delegated request rejected', extra={'error': str(error)}
        )
        connection.respond(STATUS_BAD_REQUEST, (), b'')
        return
    # Positive ids are those of callers' requests.
    state.last_call_id -= 1
    call_id = state.last_call_id
    state.connections[call_id] = connection
    state.call_ids[connection] = call_id
    state.delegation_ids[call_id] = delegated.delegation_id
    request = dataclasses.replace(
        delegated.request,
        call_id=call_id,
        arrived_ms=runtime.clock.now_ms(),
        network_ms=delegated.request.network_ms + connection.network_ms(),
    )
    runtime.mailboxes.forwarding.put(
        dataclasses.replace(delegated, request=request)
    )


def make_responder(
    runtime: runtimes.GatewayRuntime, state: ingress_state.IngressState
) -> Callable[[forwarding.CallerResponse], None]:
    """Return a function that sends a response to the delegating node."""

    def respond(response: forwarding.CallerResponse) -> None:
        reply(state, response.call_id, '', response)
        if response.objective_route:
            late_ms = runtime.clock.now_ms() - response.due_ms
            runtime.mailboxes.forwarding.put(
                forwarding.ResponseWritten(response.objective_route, late_ms)
            )

    return respond


def reply(
    state: ingress_state.IngressState,
    call_id: int,
    refusal: str,
    response: forwarding.CallerResponse | None,
) -> None:
    """End a delegated request, unless its node has disconnected."""
    connection = state.connections.pop(call_id, None)
    if connection is None:
        return
    del state.call_ids[connection]
    content = delegated_reply.DelegatedReply(
        refusal, response, state.delegation_ids.pop(call_id)
    )
    connection.respond(STATUS_OK, (), delegation.encode_reply(content))
