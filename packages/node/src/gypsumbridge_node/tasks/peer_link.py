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
# Probes reach every member in turn. Closing unused sockets keeps a node of
# a large fleet under the 1,023 sockets that a ZeroMQ context allows.
IDLE_MS = 15_000
SWEEP_MS = 5_000
SWEEP = 'sweep'


class PeerSockets:
    """One PUSH socket for each peer in use.

    `used_ms` holds when each address was last sent to. `introduced` holds
    the addresses that peers gave themselves; they are newer than the
    members' until the member list shows the same.
    """

    def __init__(
        self, factory: txzmq.ZmqFactory, introduction: list[bytes]
    ) -> None:
        self.factory = factory
        self.introduction = introduction
        self.by_address: dict[str, txzmq.ZmqPushConnection] = {}
        self.addresses: dict[str, str] = {}
        self.introduced: dict[str, str] = {}
        self.used_ms: dict[str, int] = {}

    def connection(self, address: str, now_ms: int) -> txzmq.ZmqPushConnection:
        """Return the socket of an address, opened on first use."""
        self.used_ms[address] = now_ms
        found = self.by_address.get(address)
        if found is not None:
            return found
        made = self.open(address)
        made.push(self.introduction)
        return made

    def open(self, address: str) -> txzmq.ZmqPushConnection:
        """Return a new socket that connects to an address."""
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
        for node_id, address in list(self.introduced.items()):
            if self.addresses.get(node_id) == address:
                del self.introduced[node_id]
        wanted = {*self.addresses.values(), *self.introduced.values()}
        for address in list(self.by_address):
            if address not in wanted:
                self.close(address)

    def introduce(
        self, introduction: messages.Introduction, now_ms: int
    ) -> None:
        """Learn a peer's address; the socket keeps it until it is idle."""
        address = introduction.peer_address
        self.introduced[introduction.sender] = address
        self.connection(address, now_ms)

    def find_address(self, node_id: str) -> str | None:
        """Return where a node receives messages, if it is known."""
        found = self.introduced.get(node_id)
        return found or self.addresses.get(node_id)

    def close_idle(self, now_ms: int) -> None:
        """Close the sockets that have not been used for a while."""
        for address, used_ms in list(self.used_ms.items()):
            if now_ms - used_ms >= IDLE_MS:
                self.close(address)
        for node_id, address in list(self.introduced.items()):
            if address not in self.used_ms:
                del self.introduced[node_id]

    def close(self, address: str) -> None:
        """Close the socket of an address; what it has not sent is lost."""
        del self.used_ms[address]
        self.by_address.pop(address).shutdown()


def start_peer_link_task(
    runtime: runtimes.Runtime, factory: txzmq.ZmqFactory
) -> None:
    """Bind the node's socket and deliver messages both ways.

    Messages to this node itself skip the codec.
    """
    route = make_router(runtime)
    node_id = runtime.settings.node.node_id
    own_address = runtime.settings.node.peer_address
    introduction = messages.Introduction(node_id, own_address)
    sockets = PeerSockets(factory, peer.encode(introduction))

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

    def handle(message: Any) -> None:
        if isinstance(message, messages.MembersChanged):
            sockets.replace_members(message.members)
            return
        if isinstance(message, messages.Introduction):
            sockets.introduce(message, runtime.clock.now_ms())
            return
        if message == SWEEP:
            sockets.close_idle(runtime.clock.now_ms())
            runtime.boxes.peer_link.put_later(SWEEP_MS, SWEEP)
            return
        send(message)

    pull_socket.open_pull_socket(factory, own_address, receive)
    runtime.boxes.peer_link.start(handle)
    runtime.boxes.peer_link.put_later(SWEEP_MS, SWEEP)


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
        messages.Introduction: boxes.peer_link,
        messages.Probe: boxes.membership,
        messages.ProbeRequest: boxes.membership,
        messages.ProbeAck: boxes.membership,
        messages.ConfigPull: boxes.configuration,
        messages.ConfigState: boxes.configuration,
    }

    def route(message: Any) -> None:
        table[type(message)].put(message)

    return route
