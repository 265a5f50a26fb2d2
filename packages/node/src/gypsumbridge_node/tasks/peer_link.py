"""The task that owns the sockets to other nodes."""

from collections.abc import Callable
from typing import Any

import txzmq
import zmq

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_node import decision_log
from gypsumbridge_node import mailbox
from gypsumbridge_node import peer_sockets
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.tasks import pull_socket
from gypsumbridge_wire import peer

# A peer that sends only invalid frames must not fill the log. The counter
# peer.frames.rejected includes the frames that are not logged.
REJECTED_LINES_PER_SECOND = 10
SWEEP_INTERVAL_MS = 5_000
SWEEP = 'sweep'


def start_peer_link_task(
    runtime: runtimes.Runtime, factory: txzmq.ZmqFactory
) -> None:
    """Bind the node's socket, and transfer messages in both directions."""
    route = make_router(runtime)
    node = runtime.settings.node
    introduction = messages.Introduction(node.node_id, node.peer_address)
    sockets = peer_sockets.PeerSockets(factory, peer.encode(introduction))
    own_mailbox = runtime.mailboxes.peer_link
    pull_socket.open_pull_socket(
        factory, node.peer_address, make_receiver(runtime, route)
    )
    own_mailbox.start(make_handler(runtime, sockets, route))
    own_mailbox.put_later(SWEEP_INTERVAL_MS, SWEEP)


def make_receiver(
    runtime: runtimes.Runtime, route: Callable[[Any], None]
) -> Callable[[list[bytes]], None]:
    """Return a function that decodes frames and delivers the message."""
    log = decision_log.DecisionLog(
        runtime.logger, runtime.clock, REJECTED_LINES_PER_SECOND
    )

    def receive(frames: list[bytes]) -> None:
        try:
            message = peer.decode(frames)
        except errors.FrameError as error:
            runtime.metrics.count('peer.frames.rejected')
            log.write(messages.Decision('peer frame rejected', str(error), {}))
            return
        route(message)

    return receive


def make_handler(
    runtime: runtimes.Runtime,
    sockets: peer_sockets.PeerSockets,
    route: Callable[[Any], None],
) -> Callable[[Any], None]:
    """Return the function that handles the task's messages."""
    send = make_sender(runtime, sockets, route)

    def introduce(message: messages.Introduction) -> None:
        try:
            accepted = sockets.add_introduced(message, runtime.clock.now_ms())
        except zmq.ZMQError:
            accepted = False
        if not accepted:
            runtime.metrics.count('peer.introductions.refused')

    def sweep() -> None:
        sockets.close_idle(runtime.clock.now_ms())
        runtime.mailboxes.peer_link.put_later(SWEEP_INTERVAL_MS, SWEEP)

    def handle(message: Any) -> None:
        if isinstance(message, messages.MembersChanged):
            sockets.replace_members(message.members)
            return
        if isinstance(message, messages.Introduction):
            introduce(message)
            return
        if message == SWEEP:
            sweep()
            return
        send(message)

    return handle


def make_sender(
    runtime: runtimes.Runtime,
    sockets: peer_sockets.PeerSockets,
    route: Callable[[Any], None],
) -> Callable[[messages.ToPeer | messages.ToAddress], None]:
    """Return a function that sends a message, or drops and counts it.

    Messages to this node itself are delivered without encoding.
    """
    node_id = runtime.settings.node.node_id

    def send(command: messages.ToPeer | messages.ToAddress) -> None:
        if command.node_id == node_id:
            route(command.message)
            return
        if isinstance(command, messages.ToAddress):
            address: str | None = command.address
        else:
            address = sockets.find_address(command.node_id)
        if address is None:
            runtime.metrics.count('peer.send.unknown_node')
            return
        try:
            frames = peer.encode(command.message)
            now_ms = runtime.clock.now_ms()
            sockets.connection(address, now_ms).push(frames)
        except (zmq.ZMQError, errors.FrameError) as error:
            runtime.metrics.count('peer.send.dropped')
            runtime.logger.warning(
                'message to peer dropped',
                extra={'peer': command.node_id, 'error': str(error)},
            )

    return send


def make_router(runtime: runtimes.Runtime) -> Callable[[Any], None]:
    """Return a function that delivers a peer's message to its task."""
    mailboxes = runtime.mailboxes
    mailbox_by_type: dict[type, mailbox.Mailbox] = {
        messages.ShardBatch: mailboxes.owner,
        messages.CancelBatch: mailboxes.owner,
        messages.OwnerCheck: mailboxes.owner,
        messages.MutationCall: mailboxes.owner,
        messages.EndpointLeaving: mailboxes.owner,
        messages.PartBatch: mailboxes.front,
        messages.OwnerAlive: mailboxes.front,
        messages.MutationResult: mailboxes.mutation,
        messages.Introduction: mailboxes.peer_link,
        messages.Probe: mailboxes.membership,
        messages.ProbeRequest: mailboxes.membership,
        messages.ProbeAck: mailboxes.membership,
        messages.ConfigPull: mailboxes.configuration,
        messages.ConfigState: mailboxes.configuration,
    }

    def route(message: Any) -> None:
        mailbox_by_type[type(message)].put(message)

    return route
