"""A listening port with bounds on what it accepts."""

import socket

from twisted.internet import tcp

from gypsumbridge_node.gateway import socket_options

# Twisted accepts more at a time the more there are, up to any number. A
# connection that is aborted is closed after the accepts of the same turn.
MAX_ACCEPTS = 16


class ListeningPort(tcp.Port):
    """Bounds the buffers of its connections, and the accepts of one turn."""

    def createInternetSocket(self) -> socket.socket:  # noqa: N802
        """Return the socket; accepted ones inherit its buffers."""
        created: socket.socket = super().createInternetSocket()
        socket_options.bound_buffers(created)
        return created

    def doRead(self) -> None:  # noqa: N802
        """Accept connections."""
        self.numberAccepts = min(self.numberAccepts, MAX_ACCEPTS)
        super().doRead()
