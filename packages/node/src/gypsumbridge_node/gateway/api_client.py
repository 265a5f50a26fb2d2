"""Calls to the store, or to another node, over kept connections."""

from collections.abc import Callable

from twisted.python import failure

from gypsumbridge_decisions import errors
from gypsumbridge_node import address
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import pending_call

CONNECT_TIMEOUT_S = 0.5
STATUS_OK = 200


def send_call(
    client: api_client_state.ApiClientState,
    request: http_request.HttpRequest,
    timeout_ms: int,
    on_success: Callable[[http_reply.HttpReply], None],
    on_failure: Callable[[str], None],
) -> None:
    """Send a call; exactly one of the callbacks is called.

    `on_success` may raise FrameError for a body that it cannot read,
    which counts as a failure.
    """
    client.runtime.metrics.count(f'{client.name}.calls')
    call = pending_call.PendingCall(request, on_success, on_failure)
    call.timer = client.runtime.reactor.callLater(
        timeout_ms / 1000, expire, client, call
    )
    found = client.idle.take(client.runtime.clock.now_ms())
    if found is None:
        connect(client, call)
        return
    send(client, call, found)


def connect(
    client: api_client_state.ApiClientState, call: pending_call.PendingCall
) -> None:
    """Open a connection for a call."""

    def opened(connection: client_connection.ClientConnection) -> None:
        if call.ended:
            connection.close()
            return
        send(client, call, connection)

    def not_opened(reason: failure.Failure) -> None:
        end(client, call, f'connect_{type(reason.value).__name__}')

    client_connection.connect(
        client.runtime.reactor,
        address.split_address(client.address),
        CONNECT_TIMEOUT_S,
        lambda *reply: take_reply(client, *reply),
        lambda *lost: lose(client, *lost),
        client.runtime.logger,
    ).addCallbacks(opened, not_opened)


def send(
    client: api_client_state.ApiClientState,
    call: pending_call.PendingCall,
    connection: client_connection.ClientConnection,
) -> None:
    """Write a call to a free connection."""
    call.connection = connection
    client.running[connection] = call
    data = http_head.encode_request(call.request, client.address)
    connection.send(data, lambda reply: True)


def take_reply(
    client: api_client_state.ApiClientState,
    connection: client_connection.ClientConnection,
    reply: http_reply.HttpReply,
) -> None:
    """End a call with its response."""
    call = client.running.pop(connection)
    if connection.reusable:
        client.idle.keep(connection, client.runtime.clock.now_ms())
    else:
        connection.close()
    if reply.status != STATUS_OK or not reply.framed:
        end(client, call, f'status_{reply.status}')
        return
    call.finish()
    try:
        call.on_success(reply)
    except errors.FrameError as error:
        client.runtime.logger.error(
            f'{client.name} response rejected', extra={'error': str(error)}
        )
        call.on_failure('unreadable')


def lose(
    client: api_client_state.ApiClientState,
    connection: client_connection.ClientConnection,
    reason: str,
) -> None:
    """End the call of a connection that was lost."""
    client.idle.discard(connection)
    call = client.running.pop(connection, None)
    if call is not None:
        end(client, call, f'connection_{reason}')


def expire(
    client: api_client_state.ApiClientState, call: pending_call.PendingCall
) -> None:
    """End a call that had no response in time.

    What silenced its connection may have silenced the idle ones, too.
    """
    call.timer = None
    client.idle.close_all()
    if call.connection is not None:
        client.running.pop(call.connection, None)
        call.connection.close()
    end(client, call, 'timeout')


def end(
    client: api_client_state.ApiClientState,
    call: pending_call.PendingCall,
    reason: str,
) -> None:
    """Report a failed call, once."""
    if call.ended:
        return
    call.finish()
    client.runtime.metrics.count(f'{client.name}.failures.{reason}')
    call.on_failure(reason)
