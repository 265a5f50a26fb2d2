"""Costs of a gateway that relays the store's changes, by its followers."""

import contextlib
import selectors
import socket
import time

from gypsumbridge_standins.bench import process_time
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_wire import relay

SIZES = (20, 80, 320)
# As gateways wait for each other.
WAIT_MS = 1_500
DURATION_S = 10.0
SERVICES = ('s1',)
# No store reaches this revision, so that every poll waits to its end.
LAST_REVISION = 1 << 40


def measure() -> list[dict[str, float]]:
    """Return one row for each number of followers."""
    return [measure_size(size) for size in SIZES]


def measure_size(followers: int) -> dict[str, float]:
    """Let followers poll one gateway while nothing changes."""
    cluster = clusters.Cluster()
    route = operator_config.make_route('/one/', 's1', 1_000, 1_000)
    try:
        gateway_cluster.start_gateway_cluster(
            cluster,
            operator_config.make_config(1, SERVICES, (route,)),
            SERVICES,
            0,
        )
        listen = ports.find_free_ports(gateway_cluster.GATEWAY_PORTS + 1)
        gateway_cluster.start_gateway(cluster, 0, listen)
        (process,) = (cluster.processes[name] for name in cluster.nodes)
        with contextlib.ExitStack() as stack:
            selector = stack.enter_context(selectors.DefaultSelector())
            for _ in range(followers):
                connection = socket.create_connection(
                    ('127.0.0.1', listen[-1])
                )
                stack.enter_context(connection)
                selector.register(connection, selectors.EVENT_READ)
                send_poll(connection)
            answer_polls(selector)
            before_ms = process_time.processor_ms(process.pid)
            answers = answer_polls(selector)
            used_ms = process_time.processor_ms(process.pid) - before_ms
        resident = process_time.resident_mebibytes(process.pid)
    finally:
        cluster.stop()
    return {
        'followers': followers,
        'polls_a_second': answers / DURATION_S,
        'core_percent': used_ms / (DURATION_S * 10),
        'us_a_poll': used_ms * 1_000 / max(answers, 1),
        'resident_mib': resident,
    }


def send_poll(connection: socket.socket) -> None:
    """Ask for news."""
    target = relay.encode_target(LAST_REVISION, WAIT_MS)
    connection.sendall(f'GET {target} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())


def answer_polls(selector: selectors.BaseSelector) -> int:
    """Poll again after each answer for a while; return the answers."""
    answers = 0
    end_s = time.monotonic() + DURATION_S
    while time.monotonic() < end_s:
        for key, _ in selector.select(0.1):
            connection = key.fileobj
            assert isinstance(connection, socket.socket)
            if not connection.recv(65_536):
                raise RuntimeError('the gateway closed a connection')
            answers += 1
            send_poll(connection)
    return answers


if __name__ == '__main__':
    for row in measure():
        print(row)
