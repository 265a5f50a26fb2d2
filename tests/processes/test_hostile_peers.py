import json
import pathlib
import random
import socket
import unittest

import zmq

from gypsumbridge_decisions import messages
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import small
from gypsumbridge_wire import peer

QUERY = {
    'service': 'verify-portal',
    'rank': 'border',
    'deadline_ms': 10_000,
    'query': 1,
}
REJECTED = (
    [b'2', b'Probe', b''],
    [b'1', b'None', b''],
    [b'1', b'Probe', b'\xc1' * 1_000],
    [b'1', b'CancelBatch', peer.encode(messages.OwnerCheck(''))[2]],
    [b''] * 7,
)
# Sixteen of the largest frames.
MAX_GROWTH_KIB = 16 * peer.MAX_BODY_BYTES // 1024


class HostilePeersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)
        small.start_small(cls.cluster, 1)
        cls.node = cls.cluster.nodes['node-1']

    def setUp(self):
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, 0)
        self.assert_answered()
        self.resident = self.resident_kib()

    def tearDown(self):
        """The node answers, has grown little, and no handler failed."""
        self.assert_answered()
        self.assertLess(self.resident_kib() - self.resident, MAX_GROWTH_KIB)
        log = (self.cluster.folder / 'node-1.log').read_text()
        self.assertNotIn('message handler failed', log)
        self.assertNotIn('Traceback', log)

    def assert_answered(self):
        """A node that a flood kept from its timers refuses for a while."""

        def answered():
            status, answer = json_http.call_json(
                'POST', self.node.http, '/v1/query', QUERY
            )
            return answer if status == 200 else None

        answer = clusters.wait_until(answered, 'a query is answered', 20)
        self.assertEqual((1, []), (answer['coverage'], answer['missing']))

    def resident_kib(self):
        pid = self.cluster.processes['node-1'].pid
        lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
        return next(int(x.split()[1]) for x in lines if x[:6] == 'VmRSS:')

    def counter(self, name):
        _, status = json_http.call_json('GET', self.node.http, '/v1/nodes')
        return status['counters'].get(name, 0)

    def wait_counted(self, name, count):
        clusters.wait_until(
            lambda: self.counter(name) >= count, f'{name} is {count}', 20
        )

    def connect(self):
        made = self.context.socket(zmq.PUSH)
        self.addCleanup(made.close, 0)
        made.connect(f'tcp://{self.node.peer}')
        return made

    def test_random_bytes(self):
        """Guards against a port that a scanner or a wrong client stops."""
        rng = random.Random(1)
        host, port = self.node.peer.split(':')
        greeting = b'\xff' + bytes(8) + b'\x7f\x03\x00NULL' + bytes(48)
        for number in range(200):
            with socket.create_connection((host, int(port)), 10) as made:
                head = greeting if number % 2 else b''
                try:
                    made.sendall(head + rng.randbytes(rng.randrange(4_000)))
                except OSError:
                    # The node closed the connection first.
                    continue

    def test_frames_that_do_not_decode(self):
        """Guards against refusals that nobody sees, and against a log that
        one peer fills.
        """
        before = self.counter('peer.frames.rejected')
        for _ in range(50):
            made = self.connect()
            for frames in REJECTED * 20:
                made.send_multipart(frames)
        sent = 50 * 20 * len(REJECTED)
        self.wait_counted('peer.frames.rejected', before + sent)
        log = (self.cluster.folder / 'node-1.log').read_text()
        lines = [json.loads(x) for x in log.splitlines() if x[:1] == '{']
        told = sum(x['message'] == 'peer frame rejected' for x in lines)
        self.assertGreater(told, 0)
        self.assertLess(told, sent / 10)

    def test_frames_over_the_limit(self):
        """Guards against memory that any peer can fill."""
        for _ in range(20):
            self.connect().send_multipart(
                [b'1', b'Probe', bytes(peer.MAX_BODY_BYTES + 1)]
            )
        # The node hangs up on such a frame before it reads it, so there is
        # nothing to wait for; this one arrives after some of them.
        before = self.counter('peer.frames.rejected')
        self.connect().send_multipart(REJECTED[0])
        self.wait_counted('peer.frames.rejected', before + 1)

    def test_messages_of_strangers(self):
        """Guards against state that grows with every name in a message."""
        made = self.connect()
        self.introduce(made, 500)
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
                made.send_multipart(peer.encode(message))
        before = self.counter('peer.frames.rejected')
        made.send_multipart(REJECTED[0])
        self.wait_counted('peer.frames.rejected', before + 1)

    def introduce(self, made, count):
        """Offer more addresses than a node has sockets for members."""
        chosen = range(33_000, 33_000 + count)
        for port in chosen:
            news = messages.Introduction(f's{port}', f'127.0.0.1:{port}')
            made.send_multipart(peer.encode(news))
        self.wait_counted('peer.introductions.refused', count - 256)
