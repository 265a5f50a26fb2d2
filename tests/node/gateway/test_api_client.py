import unittest

from gypsumbridge_node.gateway import api_client
from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import http_request
from tests.node.gateway import bare_runtime

TIMEOUT_MS = 2_000


class ApiClientTest(unittest.TestCase):
    def setUp(self):
        runtime = bare_runtime.make_runtime()
        self.reactor = runtime.reactor
        self.client = api_client_state.ApiClientState(
            runtime, 'store', '10.0.0.1:80'
        )
        self.failures = []

    def call(self):
        api_client.send_call(
            self.client,
            http_request.HttpRequest('GET', '/'),
            TIMEOUT_MS,
            lambda reply: None,
            self.failures.append,
        )

    def test_a_timeout_closes_the_idle_connections(self):
        """Guards against a second call over an unresponsive connection.

        Fault soak seed 102: a watch and the call after its timeout were
        sent over connections that dropped their data, and a version of the
        configuration came into force 6 s late.
        """
        bare_runtime.add_idle(self.client.idle)
        unresponsive = bare_runtime.add_idle(self.client.idle)
        self.call()
        self.assertIn(unresponsive, self.client.running)
        self.reactor.advance(TIMEOUT_MS / 1000)
        self.assertEqual(['timeout'], self.failures)
        self.assertEqual([], self.client.idle.connections)
        self.call()
        self.assertEqual(1, len(self.reactor.tcpClients))
