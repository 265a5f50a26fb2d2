"""Processor time of a gateway for each gathered request."""

import http.client
from typing import Any

from gypsumbridge_platform import header_names
from gypsumbridge_standins.bench import process_time
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster

NAMES = header_names.HEADERS
HOST = 'a.example'
SHARDS = (20, 90)
WARM = 20
GATHERS = 100
DEADLINE_MS = 5_000


def measure() -> list[dict[str, float]]:
    """Return a row for each number of shards."""
    return [measure_one(shards) for shards in SHARDS]


def measure_one(shards: int) -> dict[str, float]:
    """Send gathers one after another and measure the gateway's time."""
    services = tuple(f's{number}' for number in range(shards))
    cluster = clusters.Cluster()
    try:
        gateway_cluster.start_gateway_cluster(
            cluster, make_config(services), services, 1
        )
        (node,) = cluster.nodes.values()
        pid = cluster.processes[node.node_id].pid
        connection = http.client.HTTPConnection(node.http, timeout=30)
        for number in range(WARM):
            send(connection, f'w{number}')
        before_ms = process_time.processor_ms(pid)
        for number in range(GATHERS):
            send(connection, f'q{number}')
        spent_ms = process_time.processor_ms(pid) - before_ms
        connection.close()
    finally:
        cluster.stop()
    return {
        'shards': shards,
        'gateway_ms': spent_ms / GATHERS,
        'gateway_us_per_shard': spent_ms * 1_000 / GATHERS / shards,
    }


def send(connection: http.client.HTTPConnection, request_id: str) -> None:
    """Send a gather and read its response; raises RuntimeError if partial."""
    headers = {
        'Host': HOST,
        NAMES.request_id: request_id,
        NAMES.deadline_ms: str(DEADLINE_MS),
    }
    connection.request('GET', f'/all/{request_id}', None, headers)
    response = connection.getresponse()
    response.read()
    missing = response.headers.get(NAMES.missing_parts)
    if response.status != 200 or missing != '0':
        raise RuntimeError(f'status {response.status}, {missing} missing')


def make_config(services: tuple[str, ...]) -> dict[str, Any]:
    """Return a configuration with one route to all services."""
    return {
        'version': 1,
        'routes': [
            {
                'name': 'all',
                'hostname': HOST,
                'prefix': '/all/',
                'routeType': 'safe',
                'timeoutMs': DEADLINE_MS,
                'targetLatencyMs': DEADLINE_MS,
                'maxAttempts': 2,
                'gather': list(services),
                'topK': 10,
                'minCoverage': 0.5,
            }
        ],
        'backends': [
            {'name': name, 'maxConnections': 50} for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 262_144,
            'headerTimeoutMs': 10_000,
            'idleTimeoutMs': 60_000,
        },
    }
