"""Clients that the operators do not control, against one gateway.

Each test lowers the memory that the gateway is given in its settings, and
checks that its process stays below that, keeps its descriptors below their
limit and answers an ordinary request afterwards.
"""

import dataclasses
import http.client
import pathlib
import unittest

from gypsumbridge_node.gateway.settings import gateway_settings
from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.bench import hostile_crowd
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import peer_links
from gypsumbridge_standins.users_platform import plain_request

NODE = 'gateway-0'
SERVICES = ('s1', 's2')
DEADLINE_MS = 20_000
# The gateway takes 37 MB without any client.
MEMORY_MB = 100
# 200 descriptors are reserved for files.
MAX_FDS = 400
CLIENTS = 40
PRESS_S = 6.0
# Above `MAX_FDS`.
MANY_CLIENTS = 600
PORTS = gateway_cluster.GATEWAY_PORTS + gateway_cluster.PEER_PORTS
HOST = f'Host: {operator_config.HOST}\r\n'.encode()
HEAD_BYTES = operator_config.LIMITS.max_header_bytes
READY = platform_adapter.READY_PATH
IDENTIFIED = (
    HOST
    + f'{plain_request.NAMES.request_id}: a\r\n'
    f'{plain_request.NAMES.deadline_ms}: {DEADLINE_MS}\r\n'.encode()
)


def make_request(target, headers=IDENTIFIED):
    return f'GET {target} HTTP/1.1\r\n'.encode() + headers + b'\r\n'


def make_ahead(target, headers=IDENTIFIED):
    """Return an attack by requests whose answers are not read."""
    return hostile_crowd.Attack(piece=make_request(target, headers) * 500)


UPLOAD = b'POST /one/x HTTP/1.1\r\n' + IDENTIFIED
CHUNKED = UPLOAD + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS_FIELD = hostile_crowd.Attack(
    b'GET /one/x HTTP/1.1\r\n' + IDENTIFIED + b'X: ', b'y' * 65_536
)
ENDLESS_FIELDS = hostile_crowd.Attack(
    b'GET /one/x HTTP/1.1\r\n', b'a: b\r\n' * 10_000
)
EMPTY_LINES = hostile_crowd.Attack(piece=b'\r\n' * 30_000)


class HostileCallersTest(unittest.TestCase):
    def setUp(self):
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)
        gateway_cluster.start_gateway_cluster(
            self.cluster, self.make_config(), SERVICES, 0
        )
        listen = ports.find_free_ports(PORTS)
        callers, ready, metrics, peers, gathers = listen
        self.callers, self.ready, self.metrics, self.peers, self.gathers = (
            f'127.0.0.1:{port}' for port in listen
        )
        gateway_cluster.write_settings(
            self.cluster,
            0,
            [callers, ready, metrics],
            int(self.cluster.store.rpartition(':')[2]),
            links=peer_links.PeerLinks(peers, peers, gathers, gathers),
        )
        self.limit_gateway()
        gateway_cluster.spawn_gateway(self.cluster, NODE)
        gateway_cluster.wait_until_ready(NODE, ready)
        clusters.wait_until(
            lambda: self.send_ordinary('/all/warm'), 'parts arrive'
        )
        self.pid = self.cluster.processes[NODE].pid

    def make_config(self):
        return operator_config.make_config(
            1,
            SERVICES,
            (
                operator_config.make_gather_route(
                    '/all/',
                    SERVICES,
                    DEADLINE_MS,
                    DEADLINE_MS // 2,
                    40,
                    0.5,
                ),
                operator_config.make_route(
                    '/one/', 's1', DEADLINE_MS, DEADLINE_MS // 2
                ),
            ),
        )

    def limit_gateway(self):
        """Lower the limits, where the gateway has any to be lowered.

        Code without this section refuses to start with it, which would show
        nothing about its memory.
        """
        known = {
            field.name
            for field in dataclasses.fields(gateway_settings.GatewaySettings)
        }
        if 'limits' not in known:
            return
        with (self.cluster.folder / f'{NODE}.ini').open('a') as settings:
            settings.write(
                f'\n[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n'
            )

    def send_ordinary(self, target='/one/x'):
        """Return whether one ordinary request is served."""
        connection = http.client.HTTPConnection(self.callers, timeout=30)
        try:
            status, _, _ = plain_request.send(
                connection, 'ordinary', target, None, DEADLINE_MS
            )
            return status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def read_memory_mb(self, name):
        text = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        lines = text.splitlines()
        return next(
            int(line.split()[1]) / 1024
            for line in lines
            if line.startswith(f'{name}:')
        )

    def count_descriptors(self):
        return len(list(pathlib.Path(f'/proc/{self.pid}/fd').iterdir()))

    def check(self, address, attack, count=CLIENTS):
        """Check the gateway's bounds during and after an attack."""
        descriptors = []
        hostile_crowd.press(
            address,
            count,
            attack,
            PRESS_S,
            lambda: descriptors.append(self.count_descriptors()),
        )
        self.check_bounds(descriptors)

    def check_bounds(self, descriptors):
        self.assertIsNone(self.cluster.processes[NODE].poll())
        peak_mb = self.read_memory_mb('VmHWM')
        print(f'{self.id()}: {peak_mb:.0f} MB, {max(descriptors)} descriptors')
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(max(descriptors), MAX_FDS)
        clusters.wait_until(self.send_ordinary, 'a request is served')
        self.assertIsNone(self.cluster.processes[NODE].poll())
        log = (self.cluster.folder / f'{NODE}.log').read_text()
        self.assertNotIn('Traceback', log)

    def test_unrouted_requests_ahead(self):
        """Guards against parsed requests that wait without a limit."""
        self.check(self.callers, make_ahead('/none'))

    def test_routed_requests_ahead(self):
        """Guards against parsed requests that wait without a limit."""
        self.check(self.callers, make_ahead('/one/x'))

    def test_the_ready_path_ahead(self):
        """Guards against refused requests that wait without a limit."""
        self.check(self.callers, make_ahead(READY))

    def test_refused_requests_ahead(self):
        """Guards against answers of 400 that nobody reads."""
        self.check(self.callers, make_ahead('/one/x', HOST))

    def test_malformed_requests_ahead(self):
        """Guards against answers to malformed requests that nobody reads."""
        self.check(
            self.callers,
            hostile_crowd.Attack(piece=make_request('/none') * 50 + b'!\r\n'),
        )

    def test_a_head_without_end(self):
        """Guards against one field that the parser keeps without a limit."""
        self.check(self.callers, ENDLESS_FIELD)

    def test_fields_without_end(self):
        """Guards against many fields that are kept past the limit."""
        self.check(self.callers, ENDLESS_FIELDS)

    def test_trailers_without_end(self):
        """Guards against fields after a body that are kept."""
        start = CHUNKED + b'1\r\ny\r\n0\r\n'
        self.check(
            self.callers, hostile_crowd.Attack(start, b'a: b\r\n' * 10_000)
        )

    def test_a_trailer_without_end(self):
        """Guards against one field after a body that the parser keeps."""
        start = CHUNKED + b'1\r\ny\r\n0\r\nX: '
        self.check(self.callers, hostile_crowd.Attack(start, b'y' * 65_536))

    def test_chunk_extensions_without_end(self):
        """Guards against extensions of a chunk that are kept."""
        self.check(
            self.callers, hostile_crowd.Attack(CHUNKED + b'1;', b'y' * 65_536)
        )

    def test_empty_lines_without_end(self):
        """Guards against a connection that sends no request and never ends."""
        self.check(self.callers, EMPTY_LINES)

    def test_heads_of_the_limit_in_many_fields(self):
        """Guards against fields that take many times their bytes."""
        count = (HEAD_BYTES - 200) // 5
        head = b'GET /none HTTP/1.1\r\n' + HOST + b'a:\r\n' * count
        self.check(self.callers, hostile_crowd.Attack(head))

    def test_whole_heads_of_the_limit_ahead(self):
        """Guards against large requests that wait for their turn."""
        count = (HEAD_BYTES - 300) // 5
        request = b'GET /one/x HTTP/1.1\r\n' + IDENTIFIED + b'a:\r\n' * count
        self.check(self.callers, hostile_crowd.Attack(piece=request + b'\r\n'))

    def test_many_small_pieces(self):
        """Guards against pieces that cost more than their bytes."""
        self.check(self.callers, hostile_crowd.Attack(CHUNKED, b'1\r\ny\r\n'))

    def test_half_sent_heads(self):
        """Guards against unfinished heads that keep their descriptors."""
        start = b'GET /one/x HTTP/1.1\r\n' + IDENTIFIED + b'X: ' + b'y' * 9_000
        self.check(self.callers, hostile_crowd.Attack(start), MANY_CLIENTS)

    def test_connections_that_are_left(self):
        """Guards against connections that take all descriptors."""
        self.check(self.callers, hostile_crowd.Attack(), MANY_CLIENTS)

    def test_connections_to_all_ports_that_are_left(self):
        """Guards against limits that each port has for itself."""
        descriptors = []
        for address in (self.ready, self.metrics, self.peers, self.gathers):
            hostile_crowd.press(
                address,
                MANY_CLIENTS,
                hostile_crowd.Attack(),
                1.0,
                lambda: descriptors.append(self.count_descriptors()),
            )
        self.check_bounds(descriptors)

    def test_a_body_that_is_announced_and_not_sent(self):
        """Guards against memory that is taken for a stated length."""
        size = operator_config.LIMITS.max_body_bytes
        start = UPLOAD + f'Content-Length: {size}\r\n\r\n'.encode()
        self.check(self.callers, hostile_crowd.Attack(start), MANY_CLIENTS)

    def test_half_sent_bodies(self):
        """Guards against unfinished bodies that fill the memory together."""
        size = operator_config.LIMITS.max_body_bytes
        start = UPLOAD + f'Content-Length: {size}\r\n\r\n'.encode()
        start += b'y' * (size - 1)
        self.check(self.callers, hostile_crowd.Attack(start), MANY_CLIENTS)

    def test_slow_readers_of_gathered_answers(self):
        """Guards against answers that are read a few bytes at a time."""
        self.check(
            self.callers,
            dataclasses.replace(make_ahead('/all/x'), reads=True),
        )

    def test_the_ready_port_ahead(self):
        """Guards against answers of the ready port that nobody reads."""
        self.check(self.ready, make_ahead(READY, b''))

    def test_unrouted_requests_ahead_at_the_ready_port(self):
        """Guards against answers of the ready port that nobody reads."""
        self.check(self.ready, make_ahead('/none', b''))

    def test_a_head_without_end_at_the_ready_port(self):
        """Guards against one field that the parser keeps without a limit."""
        self.check(self.ready, ENDLESS_FIELD)

    def test_empty_lines_without_end_at_the_ready_port(self):
        """Guards against a connection that sends no request and never ends."""
        self.check(self.ready, EMPTY_LINES)

    def test_the_metrics_ahead(self):
        """Guards against metrics that are encoded and not read."""
        self.check(self.metrics, make_ahead('/metrics', b''))

    def test_a_head_without_end_at_the_metrics(self):
        """Guards against one field that the parser keeps without a limit."""
        self.check(self.metrics, ENDLESS_FIELD)

    def test_polls_ahead(self):
        """Guards against a client that calls as if it were a node."""
        self.check(self.peers, make_ahead('/none', b''))

    def test_a_head_without_end_as_a_poll(self):
        """Guards against one field that the parser keeps without a limit."""
        self.check(self.peers, ENDLESS_FIELD)

    def test_delegated_requests_ahead(self):
        """Guards against a client that delegates as if it were a node."""
        self.check(self.gathers, make_ahead('/none', b''))

    def test_a_head_without_end_as_a_delegated_request(self):
        """Guards against one field that the parser keeps without a limit."""
        self.check(self.gathers, ENDLESS_FIELD)


if __name__ == '__main__':
    unittest.main()
