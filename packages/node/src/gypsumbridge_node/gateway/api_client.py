"""Calls to the store or to another node over persistent connections."""

from collections.abc import Callable

from twisted.python import failure

from gypsumbridge_decisions import errors
from gypsumbridge_node import address
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import client_opening
from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import pending_call

CONNECT_TIMEOUT_S = 0.5
STATUS_OK = 200


def ignore_reply(reply: http_reply.HttpReply) -> None:
    """Do nothing with a response; the call's result is enough."""


def send_call(
    client: api_client_state.ApiClientState,
    request: http_request.HttpRequest,
    timeout_ms: int,
    on_success: Callable[[http_reply.HttpReply], None],
    on_failure: Callable[[str], None],
    on_interim: Callable[[], None] = client_connection.ignore_interim,
    on_reply: Callable[[http_reply.HttpReply], None] = ignore_reply,
) -> pending_call.PendingCall:
    """Send a call and report its result to one of the callbacks.

    `on_interim` is called for each interim response (1xx) before the result,
    and `on_reply` for a complete response of any status.
    If `on_success` raises FrameError for a body that it cannot decode,
    `on_failure` is called as well, and the connection is closed.
    """
    client.runtime.metrics.count(f'{client.name}.calls')
    call = pending_call.PendingCall(
        request, on_success, on_failure, on_interim, on_reply
    )
    call.timer = client.runtime.reactor.callLater(
        timeout_ms / 1000, expire, client, call
    )
    found = client.idle.checkout(
        client.runtime.clock.now_ms(), client.max_idle_ms
    )
    if found is None:
        connect(client, call)
    else:
        send(client, call, found)
    return call


def connect(
    client: api_client_state.ApiClientState, call: pending_call.PendingCall
) -> None:
    """Open a connection for a call."""

    def handle_opened(connection: client_connection.ClientConnection) -> None:
        if call.ended:
            connection.close()
            return
        send(client, call, connection)

    def handle_connect_failure(reason: failure.Failure) -> None:
        fail_call(client, call, f'connect_{type(reason.value).__name__}')

    client_opening.connect(
        client.runtime.reactor,
        address.split_address(client.address),
        CONNECT_TIMEOUT_S,
        lambda *args: handle_reply(client, *args),
        lambda *args: handle_connection_lost(client, *args),
        client.runtime.logger,
        client.budget,
    ).addCallbacks(handle_opened, handle_connect_failure)


def send(
    client: api_client_state.ApiClientState,
    call: pending_call.PendingCall,
    connection: client_connection.ClientConnection,
) -> None:
    """Send a call over an idle connection."""
    call.connection = connection
    call.sent = True
    client.running[connection] = call
    data = http_head.encode_request(call.request, client.address)
    connection.on_interim = call.on_interim
    connection.send(data, lambda reply: True, client.max_body_bytes)


def handle_reply(
    client: api_client_state.ApiClientState,
    connection: client_connection.ClientConnection,
    reply: http_reply.HttpReply,
) -> None:
    """Complete a call with its response."""
    call = client.running.pop(connection)
    if connection.reusable:
        client.idle.add(connection, client.runtime.clock.now_ms())
    else:
        connection.close()
    call.on_reply(reply)
    if reply.status != STATUS_OK or not reply.framed:
        fail_call(client, call, f'status_{reply.status}')
        return
    call.finish()
    try:
        call.on_success(reply)
    except errors.FrameError as error:
        # The next response might belong to this call.
        client.idle.discard(connection)
        connection.close()
        client.runtime.logger.error(
            f'{client.name} response rejected', extra={'error': str(error)}
        )
        call.on_failure('unreadable')


def handle_connection_lost(
    client: api_client_state.ApiClientState,
    connection: client_connection.ClientConnection,
    reason: str,
) -> None:
    """Fail the call of a connection that was closed."""
    client.idle.discard(connection)
    call = client.running.pop(connection, None)
    if call is not None:
        fail_call(client, call, f'connection_{reason}')


def cancel_call(
    client: api_client_state.ApiClientState, call: pending_call.PendingCall
) -> None:
    """Close the connection of a call whose result is not needed."""
    if call.ended:
        return
    call.finish()
    if call.connection is not None:
        client.running.pop(call.connection, None)
        call.connection.close()


def expire(
    client: api_client_state.ApiClientState, call: pending_call.PendingCall
) -> None:
    """Fail a call that got no response in time.

    The idle connections are closed as well, since the fault that made this
    one unresponsive may affect them, too.
    """
    call.timer = None
    client.idle.close_all()
    cancel_call(client, call)
    report_failure(client, call, 'timeout')


def fail_call(
    client: api_client_state.ApiClientState,
    call: pending_call.PendingCall,
    reason: str,
) -> None:
    """Report a failed call once."""
    if call.ended:
        return
    call.finish()
    report_failure(client, call, reason)


def report_failure(
    client: api_client_state.ApiClientState,
    call: pending_call.PendingCall,
    reason: str,
) -> None:
    """Count a failed call and report it to its callback."""
    client.runtime.metrics.count(f'{client.name}.failures.{reason}')
    call.on_failure(reason)
