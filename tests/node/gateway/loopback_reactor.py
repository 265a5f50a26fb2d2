"""A reactor of its own for tests that need real sockets."""

import socket
import time

from twisted.internet import error as net_errors
from twisted.internet import selectreactor
from twisted.python import failure

TIMEOUT_S = 20.0
CLOSED = failure.Failure(net_errors.ConnectionDone())


class LoopbackReactor:
    """Runs a reactor until a condition holds, and listens on loopback."""

    def __init__(self, case):
        self.reactor = selectreactor.SelectReactor()
        self.reactor.startRunning(installSignalHandlers=False)
        case.addCleanup(self.stop)
        self.server = socket.create_server(('127.0.0.1', 0))
        self.server.settimeout(TIMEOUT_S)
        case.addCleanup(self.server.close)
        self.address = self.server.getsockname()

    def run_until(self, condition):
        """Run the reactor until `condition()` is true."""
        end_s = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > end_s:
                raise AssertionError('the condition did not become true')
            self.reactor.iterate(0.01)

    def stop(self):
        """Close all sockets of the reactor."""
        for reader in self.reactor.removeAll():
            reader.connectionLost(CLOSED)
        self.reactor.fireSystemEvent('shutdown')
