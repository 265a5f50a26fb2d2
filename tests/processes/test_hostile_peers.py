import pathlib
import random
import socket
import unittest

import zmq

from gypsumbridge_decisions import messages
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import small_deployment
from gypsumbridge_wire import peer

QUERY = {
    'service': 'verify-portal',
    'rank': 'border',
    'deadline_ms': 10_000,
    'query': 1,
}
INVALID_FRAMES = (
    [b'2', b'Probe', b''],
    [b'1', b'None', b''],
    [b'1', b'Probe', b'\xc1' * 1_000],
    [b'1', b'CancelBatch', peer.encode(messages.OwnerCheck(''))[2]],
    [b''] * 7,
)
# The size of 16 frames of the largest permitted body.
MAX_GROWTH_KIB = 16 * peer.MAX_BODY_BYTES // 1024


class HostilePeersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        small_deployment.start_small_deployment(cls.cluster, 1)
        cls.node = cls.cluster.nodes['node-1']

    def setUp(self):
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, 0)
        self.wait_until_queries_succeed()
        self.resident_before_kib = self.read_resident_kib()

    def tearDown(self):
        """Check that queries succeed, memory is bounded and no handler
        failed.
        """
        self.wait_until_queries_succeed()
        self.assertLess(
            self.read_resident_kib() - self.resident_before_kib, MAX_GROWTH_KIB
        )
        log = (self.cluster.folder / 'node-1.log').read_text()
        self.assertNotIn('message handler failed', log)
        self.assertNotIn('Traceback', log)

    def wait_until_queries_succeed(self):
        """Retry, since a node whose timers were late refuses at first."""

        def answered():
            status, answer = json_http.call_json(
                'POST', self.node.http, '/v1/query', QUERY
            )
            return answer if status == 200 else None

        answer = clusters.wait_until(answered, 'a query is answered', 20)
        self.assertEqual((1, []), (answer['coverage'], answer['missing']))

    def read_resident_kib(self):
        pid = self.cluster.processes['node-1'].pid
        lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
        return next(int(x.split()[1]) for x in lines if x[:6] == 'VmRSS:')

    def read_counter(self, name):
        _, status = json_http.call_json('GET', self.node.http, '/v1/nodes')
        return status['counters'].get(name, 0)

    def wait_for_count(self, name, count):
        clusters.wait_until(
            lambda: self.read_counter(name) >= count, f'{name} is {count}', 20
        )

    def connect(self):
        connection = self.context.socket(zmq.PUSH)
        self.addCleanup(connection.close, 0)
        connection.connect(f'tcp://{self.node.peer}')
        return connection

    def test_random_bytes(self):
        """Guards against a port scanner or wrong client that stops a node."""
        rng = random.Random(1)
        host, port = self.node.peer.split(':')
        greeting = b'\xff' + bytes(8) + b'\x7f\x03\x00NULL' + bytes(48)
        for number in range(200):
            with socket.create_connection((host, int(port)), 10) as connection:
                head = greeting if number % 2 else b''
                try:
                    connection.sendall(
                        head + rng.randbytes(rng.randrange(4_000))
                    )
                except OSError:
                    # The node closed the connection first.
                    continue

    def test_frames_that_do_not_decode(self):
        """Guards against rejected frames that are not counted, and against
        a log that one peer can fill.
        """
        rejected_before = self.read_counter('peer.frames.rejected')
        for _ in range(50):
            connection = self.connect()
            for frames in INVALID_FRAMES * 20:
                connection.send_multipart(frames)
        sent_count = 50 * 20 * len(INVALID_FRAMES)
        self.wait_for_count(
            'peer.frames.rejected', rejected_before + sent_count
        )
        logged_count = sum(
            record['message'] == 'peer frame rejected'
            for record in self.cluster.read_log('node-1')
        )
        self.assertGreater(logged_count, 0)
        self.assertLess(logged_count, sent_count / 10)

    def test_frames_over_the_limit(self):
        """Guards against peers that exhaust the node's memory."""
        for _ in range(20):
            self.connect().send_multipart(
                [b'1', b'Probe', bytes(peer.MAX_BODY_BYTES + 1)]
            )
        # The node closes the connection before it reads such a frame and
        # counts nothing, so the test waits for an invalid frame sent later.
        rejected_before = self.read_counter('peer.frames.rejected')
        self.connect().send_multipart(INVALID_FRAMES[0])
        self.wait_for_count('peer.frames.rejected', rejected_before + 1)

    def test_messages_of_unknown_senders(self):
        """Guards against state that grows with each unknown name."""
        connection = self.connect()
        self.introduce_peers(connection, 500)
        for number in range(100):
            name = f'{number}-' + 'x' * 900
            calls = tuple(
                messages.ShardCall(f's{n}', f'{name}{n}') for n in range(50)
            )
            for message in (
                messages.ShardBatch(
                    name,
                    name,
                    1,
                    name,
                    'v',
                    name,
                    name,
                    60_000,
                    0,
                    0,
                    b'',
                    calls,
                ),
                messages.CancelBatch(name, name, 1),
                messages.OwnerCheck(name),
                messages.MutationCall(
                    name, name, 'k', name, 'v', name, name, name, name, 1, b''
                ),
                messages.EndpointLeaving(name, name, 'reply', True),
                messages.PartBatch(
                    name,
                    name,
                    1,
                    (),
                    (messages.AdmissionLevel(name, name, name, 0.0),),
                    0,
                ),
            ):
                connection.send_multipart(peer.encode(message))
        rejected_before = self.read_counter('peer.frames.rejected')
        connection.send_multipart(INVALID_FRAMES[0])
        self.wait_for_count('peer.frames.rejected', rejected_before + 1)

    def introduce_peers(self, connection, count):
        """Introduce more peers than the node opens sockets for."""
        port_numbers = range(33_000, 33_000 + count)
        for port in port_numbers:
            introduction = messages.Introduction(
                f's{port}', f'127.0.0.1:{port}'
            )
            connection.send_multipart(peer.encode(introduction))
        self.wait_for_count('peer.introductions.refused', count - 256)
