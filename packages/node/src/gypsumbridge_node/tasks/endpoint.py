"""The task that owns the connections to endpoints."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import error as net_errors
from twisted.python import failure

from gypsumbridge_decisions import messages
from gypsumbridge_node import http_client
from gypsumbridge_node import http_response
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import task_status
from gypsumbridge_wire import endpoint

CONNECT_TIMEOUT_MS = 1_000
# Time for an endpoint to detect that a request was cancelled. Its slot counts
# as occupied until then, so that the next request does not find it full.
CANCEL_PROPAGATION_MS = 5

CallLookup = Callable[
    [messages.EndpointRequest | messages.EndpointCheck], http_client.Call
]

_NOT_SENT = (net_errors.ConnectError, net_errors.ConnectingCancelledError)


class EndpointConnections:
    """Call functions by endpoint, and requests in flight by call id."""

    def __init__(self) -> None:
        self.calls: dict[str, http_client.Call] = {}
        self.running: dict[int, defer.Deferred[Any]] = {}
        self.cancelled: set[int] = set()


def start_endpoint_task(runtime: runtimes.Runtime) -> None:
    """Send requests to endpoints and report the outcome of each."""
    state = EndpointConnections()
    get_call = make_call_lookup(runtime, state)
    handlers: dict[type, Callable[[Any], None]] = {
        messages.EndpointRequest: make_sender(runtime, state, get_call),
        messages.EndpointCancel: make_canceller(state),
        messages.EndpointCheck: make_checker(runtime, get_call),
    }

    def handle(message: Any) -> None:
        handlers[type(message)](message)

    def count() -> dict[str, int]:
        return {'running_requests': len(state.running)}

    runtime.mailboxes.endpoint.start(task_status.with_status(handle, count))


def make_call_lookup(
    runtime: runtimes.Runtime, state: EndpointConnections
) -> CallLookup:
    """Return a function that gets an endpoint's call function.

    The call function and its connection pool are made on first use.
    """
    reactor = runtime.reactor

    def get_call(
        request: messages.EndpointRequest | messages.EndpointCheck,
    ) -> http_client.Call:
        key = f'{request.endpoint} {request.address}:{request.port}'
        call = state.calls.get(key)
        if call is None:
            pool = http_client.make_pool(reactor, request.connections)
            call = http_client.make_call(reactor, pool, CONNECT_TIMEOUT_MS)
            state.calls[key] = call
        return call

    return get_call


def make_sender(
    runtime: runtimes.Runtime,
    state: EndpointConnections,
    get_call: CallLookup,
) -> Callable[[messages.EndpointRequest], None]:
    """Return a function that sends a request and reports its outcome."""
    report = make_reporter(runtime, state)

    def send(request: messages.EndpointRequest) -> None:
        call = get_call(request)
        running = call(
            request.address,
            request.port,
            endpoint.encode_request(request),
        )
        state.running[request.call_id] = running
        timeout_s = max(request.remaining_ms, 1) / 1000
        running.addTimeout(timeout_s, runtime.reactor)
        running.addCallbacks(
            lambda response: report(request, response),
            lambda reason: report(request, reason),
        )

    return send


def make_canceller(
    state: EndpointConnections,
) -> Callable[[messages.EndpointCancel], None]:
    """Return a function that cancels a request in flight."""

    def cancel(command: messages.EndpointCancel) -> None:
        running = state.running.get(command.call_id)
        if running is None:
            return
        state.cancelled.add(command.call_id)
        running.cancel()

    return cancel


def make_checker(
    runtime: runtimes.Runtime, get_call: CallLookup
) -> Callable[[messages.EndpointCheck], None]:
    """Return a function that sends an endpoint a health check."""

    def check(request: messages.EndpointCheck) -> None:
        running = get_call(request)(
            request.address, request.port, endpoint.encode_check()
        )
        running.addTimeout(CONNECT_TIMEOUT_MS / 1000, runtime.reactor)
        running.addCallbacks(
            lambda r: endpoint.decode_health(request, r.status, r.headers),
            lambda _: messages.EndpointHealth(request.endpoint, False),
        )
        running.addCallback(runtime.mailboxes.owner.put)

    return check


def make_reporter(
    runtime: runtimes.Runtime, state: EndpointConnections
) -> Callable[[messages.EndpointRequest, Any], None]:
    """Return a function that sends the owner the outcome of a request."""
    owner_mailbox = runtime.mailboxes.owner

    def report(request: messages.EndpointRequest, outcome: Any) -> None:
        del state.running[request.call_id]
        reply = _make_reply(request, outcome)
        runtime.metrics.count(f'endpoint.replies.{reply.status}')
        if request.call_id in state.cancelled:
            state.cancelled.discard(request.call_id)
            owner_mailbox.put_later(CANCEL_PROPAGATION_MS, reply)
            return
        owner_mailbox.put(reply)

    return report


def _make_reply(
    request: messages.EndpointRequest,
    outcome: http_response.HttpResponse | failure.Failure,
) -> messages.EndpointReply:
    if isinstance(outcome, http_response.HttpResponse):
        return endpoint.decode_reply(
            request, outcome.status, outcome.headers, outcome.body
        )
    if outcome.check(*_NOT_SENT):
        return endpoint.make_failed_reply(
            request, messages.EndpointStatus.UNREACHABLE, False
        )
    return endpoint.make_failed_reply(
        request, messages.EndpointStatus.LOST, True
    )
