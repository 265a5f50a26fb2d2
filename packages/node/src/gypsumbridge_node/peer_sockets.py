"""Sockets to other nodes."""

import txzmq
import zmq

from gypsumbridge_decisions import messages

# Messages queued for a peer that does not read. Further messages are dropped,
# which is safe because every sender treats a missing reply as a failure.
SEND_QUEUE_LENGTH = 10_000
# A node probes all members one after another. Closing unused sockets keeps a
# node of a large fleet below the 1,023 sockets that a ZeroMQ context allows.
IDLE_TIMEOUT_MS = 15_000
# Nodes that start within the idle timeout introduce themselves before the
# membership lists them. More than this would leave no sockets for members.
MAX_INTRODUCED = 256


class PeerSockets:
    """One PUSH socket for each peer in use, by its address.

    `last_used_ms` has the time of the last message to each address.
    `introduced_addresses` has the addresses from peers' introductions, which
    take precedence over the member list until it has the same address.
    """

    def __init__(
        self, factory: txzmq.ZmqFactory, introduction: list[bytes]
    ) -> None:
        self.factory = factory
        self.introduction = introduction
        self.sockets: dict[str, txzmq.ZmqPushConnection] = {}
        self.member_addresses: dict[str, str] = {}
        self.introduced_addresses: dict[str, str] = {}
        self.last_used_ms: dict[str, int] = {}

    def connection(self, address: str, now_ms: int) -> txzmq.ZmqPushConnection:
        """Return the socket of an address, opened on first use.

        Raises ZMQError when it cannot be opened.
        """
        push_socket = self.sockets.get(address)
        if push_socket is None:
            push_socket = self.open(address)
            push_socket.push(self.introduction)
        self.last_used_ms[address] = now_ms
        return push_socket

    def open(self, address: str) -> txzmq.ZmqPushConnection:
        """Return a new socket that connects to an address."""
        target = txzmq.ZmqEndpoint(
            txzmq.ZmqEndpointType.connect, f'tcp://{address}'
        )
        push_socket = txzmq.ZmqPushConnection(self.factory)
        try:
            push_socket.socket.set(zmq.SNDHWM, SEND_QUEUE_LENGTH)
            push_socket.addEndpoints([target])
        except zmq.ZMQError:
            push_socket.shutdown()
            raise
        self.sockets[address] = push_socket
        return push_socket

    def replace_members(self, members: tuple[messages.Member, ...]) -> None:
        """Record the members' addresses and close other sockets."""
        self.member_addresses = {m.node_id: m.peer_address for m in members}
        for node_id, address in list(self.introduced_addresses.items()):
            if self.member_addresses.get(node_id) == address:
                del self.introduced_addresses[node_id]
        wanted = {
            *self.member_addresses.values(),
            *self.introduced_addresses.values(),
        }
        for address in list(self.sockets):
            if address not in wanted:
                self.close(address)

    def add_introduced(
        self, introduction: messages.Introduction, now_ms: int
    ) -> bool:
        """Record a peer's address, which is kept while its socket is in use.

        Returns False when too many peers that are no members have
        introduced themselves. Raises ZMQError when no socket can be opened.
        """
        address = introduction.peer_address
        sender = introduction.sender
        known = (
            sender in self.member_addresses
            or sender in self.introduced_addresses
        )
        if not known and len(self.introduced_addresses) >= MAX_INTRODUCED:
            return False
        self.connection(address, now_ms)
        self.introduced_addresses[sender] = address
        return True

    def find_address(self, node_id: str) -> str | None:
        """Return the address of a node, or None for an unknown node."""
        introduced = self.introduced_addresses.get(node_id)
        return introduced or self.member_addresses.get(node_id)

    def close_idle(self, now_ms: int) -> None:
        """Close the sockets that reached the idle timeout."""
        for address, last_used_ms in list(self.last_used_ms.items()):
            if now_ms - last_used_ms >= IDLE_TIMEOUT_MS:
                self.close(address)
        for node_id, address in list(self.introduced_addresses.items()):
            if address not in self.last_used_ms:
                del self.introduced_addresses[node_id]

    def close(self, address: str) -> None:
        """Close the socket of an address; its unsent messages are lost."""
        self.last_used_ms.pop(address, None)
        push_socket = self.sockets.pop(address, None)
        if push_socket is not None:
            push_socket.shutdown()
