import os
import signal
import unittest

from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.users_platform import gateway_cluster
from tests.processes import test_gateway


class EarlySignalsTest(unittest.TestCase):
    def setUp(self):
        """Start a gateway whose settings can be read only later."""
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        gateway_cluster.start_gateway_cluster(
            self.cluster, test_gateway.make_config(), ('s1', 's2'), 0
        )
        store_port = int(self.cluster.store.rpartition(':')[2])
        self.listen = ports.find_free_ports(gateway_cluster.GATEWAY_PORTS)
        name = gateway_cluster.write_settings(
            self.cluster, 0, list(self.listen), store_port
        )
        path = self.cluster.folder / f'{name}.ini'
        self.settings = path.read_bytes()
        path.unlink()
        os.mkfifo(path)
        gateway_cluster.spawn_gateway(self.cluster, name)
        # Returns when the gateway opens its settings, after its imports.
        self.pipe = path.open('wb')
        self.addCleanup(self.pipe.close)

    def test_a_reload_before_the_start_does_not_end_the_process(self):
        """Guards against a gateway that is missing after a reload."""
        self.cluster.signal('gateway-0', signal.SIGHUP)
        self.pipe.write(self.settings)
        self.pipe.close()
        clusters.wait_until(
            lambda: clusters.returns_ok(
                f'127.0.0.1:{self.listen[1]}', platform_adapter.READY_PATH
            ),
            'the gateway is ready',
        )

    def test_a_stop_before_the_start_is_clean(self):
        """Guards against a planned stop that is reported as a crash."""
        self.cluster.signal('gateway-0', signal.SIGTERM)
        self.assertEqual(0, self.cluster.wait('gateway-0'))
