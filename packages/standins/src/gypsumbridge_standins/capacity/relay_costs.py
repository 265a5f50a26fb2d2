"""Costs of a gateway that relays the store's updates, by follower count."""

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

FOLLOWER_COUNTS = (20, 80, 320)
# The time for which gateways wait in a poll of another one.
WAIT_MS = 1_500
DURATION_S = 10.0
SERVICES = ('s1',)
# Higher than any revision of a store, so that every poll waits in full.
LAST_REVISION = 1 << 40


def measure() -> list[dict[str, float]]:
    """Return one row for each number of followers."""
    return [measure_size(size) for size in FOLLOWER_COUNTS]


def measure_size(followers: int) -> dict[str, float]:
    """Measure a gateway that followers poll without any updates."""
    cluster = clusters.Cluster()
    route = operator_config.make_route('/one/', 's1', 1_000, 1_000)
    try:
        gateway_cluster.start_gateway_cluster(
            cluster,
            operator_config.make_config(1, SERVICES, (route,)),
            SERVICES,
            0,
        )
        gateway_ports = ports.find_free_ports(
            gateway_cluster.GATEWAY_PORTS + gateway_cluster.PEER_PORTS
        )
        gateway_cluster.start_gateway(cluster, 0, gateway_ports)
        (process,) = (cluster.processes[name] for name in cluster.nodes)
        with contextlib.ExitStack() as stack:
            selector = stack.enter_context(selectors.DefaultSelector())
            for _ in range(followers):
                connection = socket.create_connection(
                    ('127.0.0.1', gateway_ports[gateway_cluster.GATEWAY_PORTS])
                )
                stack.enter_context(connection)
                selector.register(connection, selectors.EVENT_READ)
                send_poll(connection)
            repeat_polls(selector)
            before_ms = process_time.processor_ms(process.pid)
            answer_count = repeat_polls(selector)
            used_ms = process_time.processor_ms(process.pid) - before_ms
        resident = process_time.resident_mebibytes(process.pid)
    finally:
        cluster.stop()
    return {
        'followers': followers,
        'polls_a_second': answer_count / DURATION_S,
        'core_percent': used_ms / (DURATION_S * 10),
        'us_a_poll': used_ms * 1_000 / max(answer_count, 1),
        'resident_mib': resident,
    }


def send_poll(connection: socket.socket) -> None:
    """Send a poll for updates."""
    target = relay.encode_target(LAST_REVISION, WAIT_MS, 0)
    connection.sendall(f'GET {target} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())


def repeat_polls(selector: selectors.BaseSelector) -> int:
    """Poll again after each response; return the number of responses.

    Ends after `DURATION_S`. Raises RuntimeError if the gateway closes a
    connection.
    """
    answer_count = 0
    end_s = time.monotonic() + DURATION_S
    while time.monotonic() < end_s:
        for key, _ in selector.select(0.1):
            connection = key.fileobj
            assert isinstance(connection, socket.socket)
            if not connection.recv(65_536):
                raise RuntimeError('the gateway closed a connection')
            answer_count += 1
            send_poll(connection)
    return answer_count


if __name__ == '__main__':
    for row in measure():
        print(row)
