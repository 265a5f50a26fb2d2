"""Cost of the tier and of a bare HTTP client, by shards per query."""

import json
import subprocess
import sys
from typing import Any

from gypsumbridge_standins.bench import process_time
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import group as groups

SHARD_COUNTS = (20, 50, 200)
# Far below the machine's capacity, so that requests do not wait for a
# processor.
SHARD_REQUESTS_PER_SECOND = 150
DURATION_S = 12
SERVICE_MS = 5.0
SHARDS_PER_SET = 10
SLOTS = 64
DOMAINS = ('fd-a', 'fd-b', 'fd-c')
NODES = 3


def measure() -> list[dict[str, Any]]:
    """Return one row for each number of shards per query."""
    return [measure_shards(shards) for shards in SHARD_COUNTS]


def measure_shards(shards: int) -> dict[str, Any]:
    """Measure the bare client and the tier with the same stand-ins."""
    group = groups.Group(
        'svc', shards // SHARDS_PER_SET, 2, 200, 1, SHARDS_PER_SET
    )
    cluster = clusters.Cluster()
    try:
        searcher_ports = ports.find_free_ports(build.count_searchers([group]))
        deployment = build.build(
            [group], searcher_ports, SERVICE_MS, slots=SLOTS
        )
        start.start_platform(cluster, deployment)
        start.declare(cluster, deployment.specs)
        start.start_nodes(cluster, NODES, DOMAINS)
        ticks_before = process_time.machine_ticks()
        bare = run_bare(cluster, deployment)
        tier = run_tier(cluster, shards)
        idle = process_time.idle_share_since(ticks_before)
    finally:
        cluster.stop()
    return {
        'shards': shards,
        'bare_us_per_shard': bare['us_per_shard'],
        'tier_us_per_shard': tier['us_per_shard'],
        'ratio': tier['us_per_shard'] / bare['us_per_shard'],
        'bare_p50_ms': bare['p50_ms'],
        'tier_p50_ms': tier['p50_ms'],
        'tier_full_coverage': tier['full_coverage'] / tier['sent'],
        'idle_share': idle,
    }


def run_bare(cluster: clusters.Cluster, deployment: Any) -> dict[str, Any]:
    """Send shard requests to the searchers without the tier."""
    targets = [
        {
            'address': f'127.0.0.1:{spec.port}',
            'path': f'/v1/shards/{shard}/search',
            'headers': {'X-Index-Version': build.VERSION},
            'body': '{}',
        }
        for spec in deployment.searchers
        for shard in spec.shards[build.VERSION]
    ]
    count = SHARD_REQUESTS_PER_SECOND * DURATION_S
    load_result = run_process(
        cluster, targets, SHARD_REQUESTS_PER_SECOND, count
    )
    load_result['us_per_shard'] = (
        load_result['processor_ms'] * 1_000 / load_result['sent']
    )
    return load_result


def run_tier(cluster: clusters.Cluster, shards: int) -> dict[str, Any]:
    """Send queries to every node and measure the nodes' processor time."""
    body = {
        'service': 'svc',
        'rank': 'border',
        'deadline_ms': 5_000,
        'query': {},
    }
    targets = [
        {
            'address': node.http,
            'path': '/v1/query',
            'headers': {},
            'body': json.dumps(body),
        }
        for node in cluster.nodes.values()
    ]
    rate = SHARD_REQUESTS_PER_SECOND / shards
    # The warm-up opens connections and fills the latency windows.
    run_process(cluster, targets, rate, max(int(rate * 2), 6))
    pids = [cluster.processes[name].pid for name in cluster.nodes]
    before_ms = sum(map(process_time.processor_ms, pids))
    load_result = run_process(
        cluster, targets, rate, max(int(rate * DURATION_S), 6)
    )
    used_ms = sum(map(process_time.processor_ms, pids)) - before_ms
    load_result['us_per_shard'] = (
        used_ms * 1_000 / (load_result['sent'] * shards)
    )
    return load_result


def run_process(
    cluster: clusters.Cluster,
    targets: list[dict[str, Any]],
    rate: float,
    count: int,
) -> dict[str, Any]:
    """Run one load process and return its result."""
    path = cluster.folder / 'targets.json'
    path.write_text(json.dumps(targets))
    module = 'gypsumbridge_standins.bench.load_main'
    process = subprocess.run(
        [sys.executable, '-m', module, str(path), str(rate), str(count)],
        capture_output=True,
        check=True,
        timeout=120,
    )
    return json.loads(process.stdout)
