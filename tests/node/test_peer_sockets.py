import unittest

import txzmq
import zmq

from gypsumbridge_node import peer_sockets


class PeerSocketsTest(unittest.TestCase):
    def test_an_invalid_address_does_not_end_the_sweep(self):
        """Guards against idle sockets that are never closed because the
        sweep failed on an address that could not be connected to.
        """
        factory = txzmq.ZmqFactory()
        self.addCleanup(factory.shutdown)
        sockets = peer_sockets.PeerSockets(factory, [b''])
        with self.assertRaises(zmq.ZMQError):
            sockets.connection('no address', 0)
        self.assertEqual(0, len(factory.connections))
        sockets.close_idle(peer_sockets.IDLE_TIMEOUT_MS)
