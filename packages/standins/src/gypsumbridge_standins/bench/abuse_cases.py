"""Peers that send without end, in tiny pieces, or too much at once."""

from collections.abc import Callable
import http.client
import socket
import threading
import time

import msgspec

from gypsumbridge_platform import platform_adapter
from gypsumbridge_platform import server_body
from gypsumbridge_standins import json_http
from gypsumbridge_standins.bench import abuse_case
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

NODE = 'gateway-0'
SERVICES = ('s1', 's2')
ROUTE_PREFIX = '/one/'
DEADLINE_MS = 5_000
UPLOAD_BYTES = 250_000
# Small enough that the framing takes as much as the content.
UPLOAD_CHUNK = b'10\r\n' + b'y' * 16 + b'\r\n'
UPLOAD_CHUNKS = UPLOAD_BYTES // 16
# How long half-sent uploads stay open, so that all are open together.
HOLD_S = 1.0
ENTRIES_PER_PEER = 250
ENTRIES_PER_CALL = 2_000

Start = Callable[[], None]


def send_query(cluster: clusters.Cluster, request_id: str) -> int:
    """Send a request and return the status of its response."""
    connection = http.client.HTTPConnection(
        cluster.nodes[NODE].http, timeout=60
    )
    try:
        status, _, _ = plain_request.send(
            connection, request_id, f'{ROUTE_PREFIX}x', None, DEADLINE_MS
        )
        return status
    finally:
        connection.close()


def wait_until_served(cluster: clusters.Cluster) -> None:
    """Wait until the gateway answers a request with success."""
    clusters.wait_until(
        lambda: send_query(cluster, 'warm') == 200, 'requests are served'
    )


def run_together(count: int, action: Callable[[int], None]) -> None:
    """Call `action` with each number at the same time."""
    threads = [
        threading.Thread(target=action, args=(number,))
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def make_endless(fault: str) -> abuse_case.AbuseCase:
    """Return the case of searchers that send without end."""

    def play(cluster: clusters.Cluster, start: Start, peers: int) -> None:
        start()
        wait_until_served(cluster)
        faults = {f's1-{domain}': fault for domain in gateway_cluster.DOMAINS}
        control(cluster, {'faults': faults})
        run_together(peers, lambda n: send_query(cluster, f'q{n}'))

    return abuse_case.AbuseCase(fault, play)


def control(cluster: clusters.Cluster, command: dict) -> None:
    """Send a command to the stand-in of the platform."""
    json_http.call_json('POST', cluster.controls[0], '/', command)


def open_upload(cluster: clusters.Cluster, number: int) -> socket.socket:
    """Send an upload but for its last chunk; return its connection."""
    host, port = cluster.nodes[NODE].http.split(':')
    connection = socket.create_connection((host, int(port)), 60)
    head = (
        f'POST {ROUTE_PREFIX}x HTTP/1.1\r\nHost: {operator_config.HOST}\r\n'
        f'{plain_request.NAMES.request_id}: u{number}\r\n'
        f'{plain_request.NAMES.deadline_ms}: {DEADLINE_MS}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    try:
        connection.sendall(head.encode() + UPLOAD_CHUNK * UPLOAD_CHUNKS)
    except OSError:
        # The gateway has refused the upload.
        pass
    return connection


def play_half_uploads(
    cluster: clusters.Cluster, start: Start, peers: int
) -> None:
    """Leave many uploads without their end."""
    start()
    wait_until_served(cluster)

    def leave_open(number: int) -> None:
        connection = open_upload(cluster, number)
        time.sleep(HOLD_S)
        connection.close()

    run_together(peers, leave_open)


def play_uploads(cluster: clusters.Cluster, start: Start, peers: int) -> None:
    """Send complete uploads, each over a connection of its own."""
    start()
    wait_until_served(cluster)
    for number in range(peers):
        connection = open_upload(cluster, number)
        connection.sendall(b'0\r\n\r\n')
        connection.recv(1_000)
        connection.close()


def play_long_list(
    cluster: clusters.Cluster, start: Start, peers: int
) -> None:
    """Start a gateway on a store with many searchers of other services."""
    body = server_body.ServerBody(
        'other',
        '127.0.0.1:1',
        gateway_cluster.DOMAINS[0],
        'v1',
        2,
        'ready',
        warmup_left_ms=0,
        sequence=1,
    )
    entry = msgspec.json.encode(body).decode()
    prefix = platform_adapter.make_adapter().schema.searcher_prefix
    clusters.wait_until(
        lambda: clusters.returns_ok(cluster.controls[0], '/'),
        'the store is started',
    )
    keys = [f'{prefix}x{n}' for n in range(peers * ENTRIES_PER_PEER)]
    for first in range(0, len(keys), ENTRIES_PER_CALL):
        some = keys[first : first + ENTRIES_PER_CALL]
        control(cluster, {'raw': dict.fromkeys(some, entry)})
    start()
    wait_until_served(cluster)


CASES = (
    make_endless('endless_body'),
    make_endless('endless_chunks'),
    make_endless('endless_bytes'),
    make_endless('endless_head'),
    abuse_case.AbuseCase('half_sent_uploads', play_half_uploads),
    abuse_case.AbuseCase('uploads_in_small_chunks', play_uploads),
    abuse_case.AbuseCase('long_list', play_long_list),
)
