"""The socket on which a node receives messages."""

from collections.abc import Callable

import txzmq
import zmq

from gypsumbridge_wire import peer

RECEIVE_QUEUE_LENGTH = 10_000


class PullSocket(txzmq.ZmqPullConnection):
    """Hands each received message's frames to a function."""

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
    """Bind a socket to `ip:port` and deliver what arrives there.

    A frame above the protocol's limit closes that peer's connection
    before it is read into memory.
    """
    made = PullSocket(factory, receive)
    made.socket.set(zmq.MAXMSGSIZE, peer.MAX_BODY_BYTES)
    made.socket.set(zmq.RCVHWM, RECEIVE_QUEUE_LENGTH)
    made.addEndpoints(
        [txzmq.ZmqEndpoint(txzmq.ZmqEndpointType.bind, f'tcp://{address}')]
    )
    return made
