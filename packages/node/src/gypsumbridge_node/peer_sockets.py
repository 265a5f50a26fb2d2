"""Sockets to other nodes."""

import txzmq
import zmq

from gypsumbridge_decisions import messages

# Messages that wait for a peer that does not read; more are dropped, since
# every sender treats a missing reply as a failure anyway.
SEND_QUEUE_LENGTH = 10_000
# Probes reach every member in turn. Closing unused sockets keeps a node of
# a large fleet under the 1,023 sockets that a ZeroMQ context allows.
IDLE_TIMEOUT_MS = 15_000
# Nodes that start within the idle time introduce themselves before the
# membership knows them. More than this would leave no sockets for members.
MAX_INTRODUCED = 256


class PeerSockets:
    """One PUSH socket for each peer in use.

    `last_used_ms` holds when each address was last sent to. `introduced` holds
    the addresses that peers gave themselves; they are newer than the
    members' until the member list shows the same.
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

        Raises ZMQError where none can be opened.
        """
        found = self.sockets.get(address)
        if found is None:
            found = self.open(address)
            found.push(self.introduction)
        self.last_used_ms[address] = now_ms
        return found

    def open(self, address: str) -> txzmq.ZmqPushConnection:
        """Return a new socket that connects to an address."""
        target = txzmq.ZmqEndpoint(
            txzmq.ZmqEndpointType.connect, f'tcp://{address}'
        )
        made = txzmq.ZmqPushConnection(self.factory)
        try:
            made.socket.set(zmq.SNDHWM, SEND_QUEUE_LENGTH)
            made.addEndpoints([target])
        except zmq.ZMQError:
            made.shutdown()
            raise
        self.sockets[address] = made
        return made

    def replace_members(self, members: tuple[messages.Member, ...]) -> None:
        """Learn the peers' addresses and close sockets of lost peers."""
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
        """Learn a peer's address; the socket keeps it until it is idle.

        Returns False when too many peers unknown to the membership have
        introduced themselves. Raises ZMQError without a socket.
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
        """Return where a node receives messages, if it is known."""
        found = self.introduced_addresses.get(node_id)
        return found or self.member_addresses.get(node_id)

    def close_idle(self, now_ms: int) -> None:
        """Close the sockets that have not been used for a while."""
        for address, last_used_ms in list(self.last_used_ms.items()):
            if now_ms - last_used_ms >= IDLE_TIMEOUT_MS:
                self.close(address)
        for node_id, address in list(self.introduced_addresses.items()):
            if address not in self.last_used_ms:
                del self.introduced_addresses[node_id]

    def close(self, address: str) -> None:
        """Close the socket of an address; what it has not sent is lost."""
        self.last_used_ms.pop(address, None)
        found = self.sockets.pop(address, None)
        if found is not None:
            found.shutdown()
