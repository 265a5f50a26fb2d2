"""Costs of idle nodes as processes, by the number of nodes."""

import time

from gypsumbridge_standins.bench import process_time
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build

NODE_COUNTS = (3, 6, 9, 12)
DOMAINS = ('fd-a', 'fd-b', 'fd-c')
SETTLE_S = 3.0
DURATION_S = 10.0
SERVICE_MS = 20.0


def measure() -> list[dict[str, float]]:
    """Return one row per fleet size: the mean and the busiest node."""
    return [measure_size(size) for size in NODE_COUNTS]


def measure_size(size: int) -> dict[str, float]:
    """Start nodes, let them settle, and measure them while idle."""
    cluster = clusters.Cluster()
    try:
        count = build.count_searchers(build.SMALL_GROUPS)
        deployment = build.build(
            build.SMALL_GROUPS, ports.find_free_ports(count), SERVICE_MS
        )
        start.start_platform(cluster, deployment)
        start.declare(cluster, deployment.specs)
        start.start_nodes(cluster, size, DOMAINS)
        pids = [cluster.processes[name].pid for name in cluster.nodes]
        # Blocking is fine, as the benchmark has no reactor.
        time.sleep(SETTLE_S)
        before_ms = [process_time.processor_ms(pid) for pid in pids]
        time.sleep(DURATION_S)
        after_ms = [process_time.processor_ms(pid) for pid in pids]
        used = [
            (b - a) / (DURATION_S * 10)
            for a, b in zip(before_ms, after_ms, strict=True)
        ]
        resident = [process_time.resident_mebibytes(pid) for pid in pids]
    finally:
        cluster.stop()
    return {
        'nodes': size,
        'core_percent_mean': sum(used) / size,
        'core_percent_most': max(used),
        'resident_mib_most': max(resident),
    }


if __name__ == '__main__':
    for row in measure():
        print(row)
