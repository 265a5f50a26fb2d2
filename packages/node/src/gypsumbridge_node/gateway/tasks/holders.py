"""The task that asks holders of partitions for tokens."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import quotas
from gypsumbridge_node.gateway import api_client
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import holder_ask
from gypsumbridge_node.gateway import holder_calls
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_wire import grants

# A call takes one round trip, so a few connections carry the requests of all
# customers, of which each node sends one at a time.
MAX_CONNECTIONS = 4
MAX_WAITING = 1_000
# The holder closes idle connections, and a host that vanished leaves silent
# ones. A new connection costs one more round trip.
MAX_IDLE_MS = 5_000
MAX_REPLY_BYTES = 4_096


def start_holders_task(runtime: runtimes.GatewayRuntime) -> None:
    """Ask holders, and report each result to the quotas task.

    A node that other nodes cannot call takes no part in quotas, so it asks
    nobody.
    """
    calls_by_address: dict[str, holder_calls.HolderCalls] = {}

    def calls_to(address: str) -> holder_calls.HolderCalls:
        found = calls_by_address.get(address)
        if found is None:
            client = api_client_state.ApiClientState(
                runtime, 'holders', address, MAX_IDLE_MS, MAX_REPLY_BYTES
            )
            found = holder_calls.HolderCalls(client)
            calls_by_address[address] = found
        return found

    def ask(command: quotas.AskHolder) -> None:
        if not command.peer.address or not runtime.settings.listen.peers:
            fail(runtime, command.ask_id, 'no_address')
            return
        calls = calls_to(command.peer.address)
        due_ms = runtime.clock.now_ms() + command.timeout_ms
        asked = holder_ask.HolderAsk(command, due_ms)
        if calls.running < MAX_CONNECTIONS:
            send(runtime, calls, asked)
            return
        if len(calls.waiting) >= MAX_WAITING:
            fail(runtime, command.ask_id, 'too_many')
            return
        asked.timer = runtime.reactor.callLater(
            command.timeout_ms / 1000, expire, runtime, calls, asked
        )
        calls.waiting[command.ask_id] = asked

    runtime.mailboxes.holders.start(ask)


def send(
    runtime: runtimes.GatewayRuntime,
    calls: holder_calls.HolderCalls,
    asked: holder_ask.HolderAsk,
) -> None:
    """Send a request to the holder."""
    ask_id = asked.command.ask_id
    try:
        body = grants.encode_request(asked.command.request)
    except errors.FrameError as error:
        runtime.logger.error(
            'grant request cannot be sent', extra={'error': str(error)}
        )
        fail(runtime, ask_id, 'unencodable')
        return

    def handle_reply(reply: http_reply.HttpReply) -> None:
        answered = quotas.HolderAnswered(
            ask_id, grants.decode_reply(reply.body)
        )
        runtime.mailboxes.quotas.put(answered)
        end_call(runtime, calls)

    def handle_failure(reason: str) -> None:
        fail(runtime, ask_id, reason)
        end_call(runtime, calls)

    calls.running += 1
    left_ms = asked.due_ms - runtime.clock.now_ms()
    api_client.send_call(
        calls.client,
        http_request.HttpRequest('POST', grants.PATH, body=body),
        max(1, left_ms),
        handle_reply,
        handle_failure,
    )


def end_call(
    runtime: runtimes.GatewayRuntime, calls: holder_calls.HolderCalls
) -> None:
    """Send the request that has waited longest, if any."""
    calls.running -= 1
    while len(calls.client.idle.connections) > MAX_CONNECTIONS:
        calls.client.idle.close_oldest()
    while calls.waiting and calls.running < MAX_CONNECTIONS:
        asked = calls.waiting.pop(next(iter(calls.waiting)))
        asked.timer.cancel()
        send(runtime, calls, asked)


def expire(
    runtime: runtimes.GatewayRuntime,
    calls: holder_calls.HolderCalls,
    asked: holder_ask.HolderAsk,
) -> None:
    """Fail a request that got no connection in time."""
    del calls.waiting[asked.command.ask_id]
    fail(runtime, asked.command.ask_id, 'no_connection')


def fail(runtime: runtimes.GatewayRuntime, ask_id: int, reason: str) -> None:
    """Report a request that got no reply."""
    runtime.mailboxes.quotas.put(quotas.HolderFailed(ask_id, reason))
