"""Processor time of a gateway for each gathered request."""

import http.client

from gypsumbridge_standins.bench import process_time
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

SHARD_COUNTS = (20, 90)
WARM_UP_REQUESTS = 20
MEASURED_REQUESTS = 100
TOP_K = 10
MIN_COVERAGE = 0.5


def measure() -> list[dict[str, float]]:
    """Return one row for each number of shards."""
    return [measure_one(shards) for shards in SHARD_COUNTS]


def measure_one(shards: int) -> dict[str, float]:
    """Send gathers sequentially and measure the gateway's processor time."""
    services = tuple(f's{number}' for number in range(shards))
    route = operator_config.make_gather_route(
        '/all/',
        services,
        plain_request.DEADLINE_MS,
        plain_request.DEADLINE_MS,
        TOP_K,
        MIN_COVERAGE,
    )
    cluster = clusters.Cluster()
    try:
        gateway_cluster.start_gateway_cluster(
            cluster,
            operator_config.make_config(1, services, (route,)),
            services,
            1,
        )
        (node,) = cluster.nodes.values()
        pid = cluster.processes[node.node_id].pid
        connection = http.client.HTTPConnection(node.http, timeout=30)
        for number in range(WARM_UP_REQUESTS):
            send(connection, f'w{number}')
        before_ms = process_time.processor_ms(pid)
        for number in range(MEASURED_REQUESTS):
            send(connection, f'q{number}')
        spent_ms = process_time.processor_ms(pid) - before_ms
        connection.close()
    finally:
        cluster.stop()
    return {
        'shards': shards,
        'gateway_ms': spent_ms / MEASURED_REQUESTS,
        'gateway_us_per_shard': spent_ms * 1_000 / MEASURED_REQUESTS / shards,
    }


def send(connection: http.client.HTTPConnection, request_id: str) -> None:
    """Send a gather and read its response.

    Raises RuntimeError if it fails or is partial.
    """
    status, headers, _ = plain_request.send(
        connection, request_id, f'/all/{request_id}'
    )
    missing = headers.get(plain_request.NAMES.missing_parts)
    if status != 200 or missing != '0':
        raise RuntimeError(f'status {status}, {missing} missing')
