"""Calls to the store over kept connections."""

from collections.abc import Callable

from twisted.internet import endpoints
from twisted.python import failure

from gypsumbridge_decisions import errors
from gypsumbridge_node import address
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import pending_call
from gypsumbridge_node.gateway import runtime as runtimes

CONNECT_TIMEOUT_S = 0.5
STATUS_OK = 200


class StoreClient:
    """Sends each call over an idle connection, or over a new one."""

    def __init__(self, runtime: runtimes.GatewayRuntime) -> None:
        self.runtime = runtime
        self.store_address = runtime.settings.discovery.store_address
        self.idle: list[client_connection.ClientConnection] = []
        self.running: dict[
            client_connection.ClientConnection, pending_call.PendingCall
        ] = {}

    def call(
        self,
        request: http_request.HttpRequest,
        timeout_ms: int,
        on_success: Callable[[http_reply.HttpReply], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Send a call; exactly one of the callbacks is called.

        `on_success` may raise FrameError for a body that it cannot read,
        which counts as a failure.
        """
        self.runtime.metrics.count('store.calls')
        call = pending_call.PendingCall(request, on_success, on_failure)
        call.timer = self.runtime.reactor.callLater(
            timeout_ms / 1000, self.expire, call
        )
        now_ms = self.runtime.clock.now_ms()
        while self.idle:
            found = self.idle.pop()
            if found.is_usable(now_ms):
                self.send(call, found)
                return
            found.close()
        self.connect(call)

    def connect(self, call: pending_call.PendingCall) -> None:
        """Open a connection for a call."""
        host, port = address.split_address(self.store_address)
        target = endpoints.TCP4ClientEndpoint(
            self.runtime.reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        factory = client_connection.make_factory(
            self.take_reply, self.lose, self.runtime.logger
        )
        factory.noisy = False

        def opened(connection: client_connection.ClientConnection) -> None:
            if call.ended:
                connection.close()
                return
            self.send(call, connection)

        def not_opened(reason: failure.Failure) -> None:
            self.end(call, f'connect_{type(reason.value).__name__}')

        target.connect(factory).addCallbacks(opened, not_opened)

    def send(
        self,
        call: pending_call.PendingCall,
        connection: client_connection.ClientConnection,
    ) -> None:
        """Write a call to a free connection."""
        call.connection = connection
        self.running[connection] = call
        data = http_head.encode_request(call.request, self.store_address)
        connection.send(data, lambda reply: True)

    def take_reply(
        self,
        connection: client_connection.ClientConnection,
        reply: http_reply.HttpReply,
    ) -> None:
        """End a call with its response."""
        call = self.running.pop(connection)
        if connection.reusable:
            connection.idle_since_ms = self.runtime.clock.now_ms()
            self.idle.append(connection)
        else:
            connection.close()
        if reply.status != STATUS_OK or not reply.framed:
            self.end(call, f'status_{reply.status}')
            return
        call.finish()
        try:
            call.on_success(reply)
        except errors.FrameError as error:
            self.runtime.logger.error(
                'store response rejected', extra={'error': str(error)}
            )
            call.on_failure('unreadable')

    def lose(
        self, connection: client_connection.ClientConnection, reason: str
    ) -> None:
        """End the call of a connection that was lost."""
        if connection in self.idle:
            self.idle.remove(connection)
        call = self.running.pop(connection, None)
        if call is not None:
            self.end(call, f'connection_{reason}')

    def expire(self, call: pending_call.PendingCall) -> None:
        """End a call that had no response in time."""
        call.timer = None
        if call.connection is not None:
            self.running.pop(call.connection, None)
            call.connection.close()
        self.end(call, 'timeout')

    def end(self, call: pending_call.PendingCall, reason: str) -> None:
        """Report a failed call, once."""
        if call.ended:
            return
        call.finish()
        self.runtime.metrics.count(f'store.failures.{reason}')
        call.on_failure(reason)


def make_store_client(runtime: runtimes.GatewayRuntime) -> StoreClient:
    """Return a client without connections."""
    return StoreClient(runtime)
