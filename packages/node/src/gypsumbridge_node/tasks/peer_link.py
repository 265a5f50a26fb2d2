"""The task that owns the sockets to other nodes."""

from collections.abc import Callable
from typing import Any

import txzmq
import zmq

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_node import mailbox
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.tasks import pull_socket
from gypsumbridge_wire import peer

# Messages that wait for a peer that does not read; more are dropped, since
# every sender treats a missing reply as a failure anyway.
SEND_QUEUE_LENGTH = 10_000


class PeerSockets:
    """One PUSH socket for each peer in use."""

    def __init__(self, factory: txzmq.ZmqFactory) -> None:
        self.factory = factory
        self.by_address: dict[str, txzmq.ZmqPushConnection] = {}
        self.addresses: dict[str, str] = {}

    def connection(self, address: str) -> txzmq.ZmqPushConnection:
        """Return the socket of an address, opened on first use."""
        found = self.by_address.get(address)
        if found is not None:
            return found
        made = txzmq.ZmqPushConnection(self.factory)
        made.socket.set(zmq.SNDHWM, SEND_QUEUE_LENGTH)
        made.addEndpoints(
            [
                txzmq.ZmqEndpoint(
                    txzmq.ZmqEndpointType.connect, f'tcp://{address}'
                )
            ]
        )
        self.by_address[address] = made
        return made

    def replace_members(self, members: tuple[messages.Member, ...]) -> None:
        """Learn the peers' addresses and close sockets of lost peers."""
        self.addresses = {m.node_id: m.peer_address for m in members}
        wanted = set(self.addresses.values())
        for address in list(self.by_address):
            if address not in wanted:
                self.by_address.pop(address).shutdown()


def start_peer_link_task(
    runtime: runtimes.Runtime, factory: txzmq.ZmqFactory
) -> None:
    """Bind the node's socket and deliver messages both ways.

    Messages to this node itself skip the codec.
    """
    route = make_router(runtime)
    sockets = PeerSockets(factory)
    node_id = runtime.settings.node.node_id

    def receive(frames: list[bytes]) -> None:
        try:
            message = peer.decode(frames)
        except errors.FrameError as error:
            runtime.metrics.count('peer.frames.rejected')
            runtime.logger.warning(
                'peer frame rejected', extra={'error': str(error)}
            )
            return
        route(message)

    def send(command: messages.ToPeer) -> None:
        if command.node_id == node_id:
            route(command.message)
            return
        address = sockets.addresses.get(command.node_id)
        if address is None:
            runtime.metrics.count('peer.send.unknown_node')
            return
        try:
            frames = peer.encode(command.message)
            sockets.connection(address).push(frames)
        except (zmq.ZMQError, errors.FrameError) as error:
            runtime.metrics.count('peer.send.dropped')
            runtime.logger.warning(
                'message to peer dropped',
                extra={'peer': command.node_id, 'error': str(error)},
            )

    def handle(message: Any) -> None:
        if isinstance(message, messages.MembersChanged):
            sockets.replace_members(message.members)
            return
        send(message)

    pull_socket.open_pull_socket(
        factory, runtime.settings.node.peer_address, receive
    )
    runtime.boxes.peer_link.start(handle)


def make_router(runtime: runtimes.Runtime) -> Callable[[Any], None]:
    """Return a function that puts a peer's message into its task."""
    boxes = runtime.boxes
    table: dict[type, mailbox.Mailbox] = {
        messages.ShardBatch: boxes.owner,
        messages.CancelBatch: boxes.owner,
        messages.OwnerCheck: boxes.owner,
        messages.MutationCall: boxes.owner,
        messages.EndpointLeaving: boxes.owner,
        messages.PartBatch: boxes.front,
        messages.MutationResult: boxes.mutation,
        messages.ConfigPull: boxes.configuration,
        messages.ConfigState: boxes.configuration,
    }

    def route(message: Any) -> None:
        table[type(message)].put(message)

    return route
