"""The task that sends requests to the configuration store."""

from typing import Any

from twisted.internet import error as net_errors
from twisted.python import failure

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_node import address
from gypsumbridge_node import http_client
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import store_call
from gypsumbridge_wire import store

POOL_CONNECTIONS = 4
_WRITES = (messages.StoreOperation.WRITE, messages.StoreOperation.DELETE)


def start_store_task(runtime: runtimes.Runtime) -> None:
    """Send requests to the store, and each reply to its `reply_to`."""
    host, port = address.split_address(runtime.settings.store.address)
    timeout_ms = runtime.settings.store.timeout_ms
    pool = http_client.make_pool(runtime.reactor, POOL_CONNECTIONS)
    call = http_client.make_call(runtime.reactor, pool, timeout_ms)

    def handle(message: store_call.StoreCall) -> None:
        request = message.request
        runtime.metrics.count(f'store.calls.{request.operation}')
        running = call(host, port, store.encode_call(request))
        wait_ms = timeout_ms + request.wait_ms
        running.addTimeout(wait_ms / 1000, runtime.reactor)
        running.addCallback(
            lambda r: store.decode_reply(request.token, r.status, r.body)
        )
        running.addErrback(lambda f: _failed(runtime, request, f))
        running.addCallback(message.reply_to.put)

    runtime.mailboxes.store.start(handle)


def _failed(
    runtime: runtimes.Runtime,
    request: messages.StoreRequest,
    reason: failure.Failure,
) -> Any:
    runtime.metrics.count('store.failures')
    if reason.check(errors.FrameError):
        runtime.logger.error(
            'store reply rejected', extra={'error': str(reason.value)}
        )
    status = messages.StoreStatus.UNAVAILABLE
    not_sent = reason.check(net_errors.ConnectError)
    if request.operation in _WRITES and not not_sent:
        status = messages.StoreStatus.UNKNOWN
    return messages.StoreReply(request.token, status)
