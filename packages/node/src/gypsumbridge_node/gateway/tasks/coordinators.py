"""The task that sends delegated requests to coordinators."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import api_client
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import pending_call
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_wire import delegation

# The forwarding task cancels a request at its deadline, before this margin.
EXPIRY_MARGIN_MS = 1_000
Running = tuple[api_client_state.ApiClientState, pending_call.PendingCall]


def start_coordinators_task(runtime: runtimes.GatewayRuntime) -> None:
    """Send requests, and report their results to the forwarding task."""
    mailbox = runtime.mailboxes.forwarding
    clients: dict[str, api_client_state.ApiClientState] = {}
    running: dict[int, Running] = {}

    def client_for(address: str) -> api_client_state.ApiClientState:
        found = clients.get(address)
        if found is None:
            found = api_client_state.ApiClientState(
                runtime, 'coordinators', address
            )
            clients[address] = found
        return found

    def end(ended: forwarding.DelegationEnded) -> None:
        running.pop(ended.delegation_id, None)
        mailbox.put(ended)

    def delegate(command: forwarding.DelegateRequest) -> None:
        delegation_id = command.delegation_id

        def handle_reply(reply: http_reply.HttpReply) -> None:
            decoded = delegation.decode_reply(reply.body)
            # Nodes of earlier releases state no id.
            if decoded.delegation_id not in (0, delegation_id):
                raise errors.FrameError(
                    'a coordinator replied to another request',
                    'run nodes of the same release',
                )
            end(
                forwarding.DelegationEnded(
                    delegation_id, decoded.response, decoded.refusal
                )
            )

        def handle_failure(reason: str) -> None:
            found = running.get(delegation_id)
            sent = found is not None and found[1].sent
            end(
                forwarding.DelegationEnded(
                    delegation_id, failure=reason, sent=sent
                )
            )

        request = http_request.HttpRequest(
            'POST',
            delegation.PATH,
            body=delegation.encode_request(command.delegated),
        )
        client = client_for(command.coordinator.gather_address)
        call = api_client.send_call(
            client,
            request,
            command.delegated.request.deadline_ms + EXPIRY_MARGIN_MS,
            handle_reply,
            handle_failure,
            lambda: mailbox.put(forwarding.DelegationAccepted(delegation_id)),
        )
        if not call.ended:
            running[delegation_id] = (client, call)

    def cancel(command: forwarding.CancelDelegation) -> None:
        found = running.pop(command.delegation_id, None)
        if found is None:
            return
        client, call = found
        api_client.cancel_call(client, call)
        if command.suspect:
            client.idle.close_all()

    handlers: dict[type, Callable[[Any], None]] = {
        forwarding.DelegateRequest: delegate,
        forwarding.CancelDelegation: cancel,
    }

    def handle(message: Any) -> None:
        handlers[type(message)](message)

    runtime.mailboxes.coordinators.start(handle)
