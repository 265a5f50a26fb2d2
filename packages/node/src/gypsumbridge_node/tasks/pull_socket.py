"""The socket on which a node receives messages from peers."""

from collections.abc import Callable

import txzmq
import zmq

from gypsumbridge_wire import peer

RECEIVE_QUEUE_LENGTH = 10_000


class PullSocket(txzmq.ZmqPullConnection):
    """Passes the frames of each received message to a function."""

    def __init__(
        self,
        factory: txzmq.ZmqFactory,
        receive: Callable[[list[bytes]], None],
    ) -> None:
        self.receive = receive
        super().__init__(factory)

    def onPull(self, message: list[bytes]) -> None:  # noqa: N802
        """Deliver the frames of one message."""
        self.receive(message)


def open_pull_socket(
    factory: txzmq.ZmqFactory,
    address: str,
    receive: Callable[[list[bytes]], None],
) -> PullSocket:
    """Bind a socket to `ip:port` and pass received messages to `receive`.

    A frame above the protocol's size limit closes the peer's connection
    before it is read into memory.
    """
    pull = PullSocket(factory, receive)
    pull.socket.set(zmq.MAXMSGSIZE, peer.MAX_BODY_BYTES)
    pull.socket.set(zmq.RCVHWM, RECEIVE_QUEUE_LENGTH)
    pull.addEndpoints(
        [txzmq.ZmqEndpoint(txzmq.ZmqEndpointType.bind, f'tcp://{address}')]
    )
    return pull
