"""The task that owns callers' connections."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_node.gateway import caller_key
from gypsumbridge_node.gateway import decimal_number
from gypsumbridge_node.gateway import end_to_end
from gypsumbridge_node.gateway import ingress_state
from gypsumbridge_node.gateway import listening
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_node.gateway import server_factory

SOURCE = 'ingress'
# Applies to a request without a valid deadline header.
DEFAULT_DEADLINE_MS = 30_000
STATUS_BAD_REQUEST = 400


def start_ingress_task(runtime: runtimes.GatewayRuntime) -> Any:
    """Accept callers' connections; return the listening port."""
    state = ingress_state.IngressState()

    def on_request(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        accept(runtime, state, connection, request)

    def on_disconnect(connection: server_connection.ServerConnection) -> None:
        call_id = state.call_ids.pop(connection, None)
        if call_id is None:
            return
        del state.connections[call_id]
        runtime.mailboxes.forwarding.put(
            forwarding.CallerDisconnected(call_id)
        )

    factory = server_factory.make_factory(
        on_request,
        on_disconnect,
        lambda: state.limits,
        lambda: state.closing,
        runtime.resources,
    )

    def change_routes(update: forwarding.RoutesChanged) -> None:
        state.limits = update.table.limits

    def count_in_flight(query: messages.InFlightQuery) -> None:
        # Idle connections are closed so that callers connect to other
        # gateways.
        for connection in list(factory.connections):
            connection.close_if_idle()
        open_count = len(factory.connections)
        runtime.mailboxes.lifecycle.put(
            messages.InFlightReport(SOURCE, open_count)
        )

    handlers: dict[type, Callable[[Any], None]] = {
        forwarding.CallerResponse: make_responder(runtime, state),
        forwarding.RoutesChanged: change_routes,
        messages.EndKeepAlive: lambda command: state.end_keep_alive(),
        messages.InFlightQuery: count_in_flight,
    }

    def handle(message: Any) -> None:
        handlers[type(message)](message)

    runtime.mailboxes.ingress.start(handle)
    return listening.listen(runtime, runtime.settings.listen.callers, factory)


def accept(
    runtime: runtimes.GatewayRuntime,
    state: ingress_state.IngressState,
    connection: server_connection.ServerConnection,
    parsed: parsed_request.ParsedRequest,
) -> None:
    """Decode a request and pass it to the forwarding task."""
    names = runtime.adapter.headers
    request_id = parsed.headers.first.get(names.request_id)
    host = parsed.headers.first.get('host')
    if not request_id or not host:
        runtime.metrics.count('ingress.bad_requests')
        connection.respond(STATUS_BAD_REQUEST, (), b'')
        return
    state.last_call_id += 1
    call_id = state.last_call_id
    state.connections[call_id] = connection
    state.call_ids[connection] = call_id
    deadline_ms = decimal_number.parse(
        parsed.headers.first.get(names.deadline_ms, '')
    )
    own_headers = (
        names.request_id,
        names.deadline_ms,
        names.expected_searcher,
    )
    headers, key_digest = caller_key.separate_key(names, parsed.headers.pairs)
    runtime.mailboxes.forwarding.put(
        forwarding.CallerRequest(
            call_id,
            request_id,
            parsed.method,
            host.rpartition(':')[0].lower() if ':' in host else host.lower(),
            parsed.target,
            end_to_end.end_to_end_headers(headers, own_headers),
            parsed.body,
            DEFAULT_DEADLINE_MS if deadline_ms is None else deadline_ms,
            runtime.clock.now_ms(),
            connection.network_ms(),
            key_digest,
        )
    )


def make_responder(
    runtime: runtimes.GatewayRuntime, state: ingress_state.IngressState
) -> Callable[[forwarding.CallerResponse], None]:
    """Return a function that sends a response to its caller."""
    names = runtime.adapter.headers

    def respond(response: forwarding.CallerResponse) -> None:
        connection = state.connections.pop(response.call_id, None)
        if connection is None:
            return
        del state.call_ids[connection]
        headers = list(response.headers)
        if response.retry_after_ms:
            seconds = f'{response.retry_after_ms / 1000:.3f}'
            headers.append(('Retry-After', seconds))
        if response.missing_parts >= 0:
            signatures = ', '.join(response.part_signatures)
            headers.append((names.part_signatures, signatures))
            headers.append((names.missing_parts, str(response.missing_parts)))
            headers.append(('Content-Type', 'application/octet-stream'))
        connection.respond(response.status, headers, response.body)
        if response.objective_route:
            late_ms = runtime.clock.now_ms() - response.due_ms
            runtime.mailboxes.forwarding.put(
                forwarding.ResponseWritten(response.objective_route, late_ms)
            )

    return respond
