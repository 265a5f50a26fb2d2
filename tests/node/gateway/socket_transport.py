"""A transport with a socket of limited buffer space."""

from twisted.internet import testing


class Socket:
    """Accepts as many bytes as there is `room` for."""

    def __init__(self):
        self.room = 100_000
        self.sent = b''

    def fileno(self):
        return 10

    def setsockopt(self, level, name, value):
        pass

    def send(self, data):
        if not self.room:
            raise BlockingIOError
        taken = data[: self.room]
        self.room -= len(taken)
        self.sent += taken
        return len(taken)


class SocketTransport(testing.StringTransportWithDisconnection):
    """Buffers in the transport what does not fit into the socket."""

    def __init__(self):
        super().__init__()
        self.socket = Socket()

    def getHandle(self):
        return self.socket

    def loseConnection(self):
        """Close, and drop the protocol as Twisted's transports do."""
        super().loseConnection()
        self.protocol = None
