"""The task that polls other nodes for store updates."""

from typing import Any

from gypsumbridge_decisions import relaying
from gypsumbridge_node.gateway import api_client
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_wire import relay

# A node without updates answers when the wait of the poll ends. The answer
# arrives within this time after that, even if both nodes are busy with
# requests of many parts.
ANSWER_MARGIN_MS = 500


def start_peers_task(runtime: runtimes.GatewayRuntime) -> None:
    """Poll one node at a time; each answer goes to the discovery task."""
    mailbox = runtime.mailboxes.discovery
    client = api_client_state.ApiClientState(runtime, 'peers', '')

    def watch(command: relaying.WatchPeer) -> None:
        nonlocal client
        if client.address != command.peer.address:
            client.idle.close_all()
            client = api_client_state.ApiClientState(
                runtime, 'peers', command.peer.address
            )
        node_id = command.peer.node_id
        sent_ms = runtime.clock.boot_ms()

        def handle_updates(reply: http_reply.HttpReply) -> None:
            updates = relay.decode_updates(reply.body)
            mailbox.put(relaying.PeerAnswered(node_id, updates, sent_ms))

        target = relay.encode_target(
            command.after_revision, command.wait_ms, command.era
        )
        api_client.send_call(
            client,
            http_request.HttpRequest('GET', target),
            command.wait_ms + ANSWER_MARGIN_MS,
            handle_updates,
            lambda reason: mailbox.put(relaying.PeerFailed(node_id, reason)),
        )

    def handle(message: Any) -> None:
        watch(message)

    runtime.mailboxes.peers.start(handle)
