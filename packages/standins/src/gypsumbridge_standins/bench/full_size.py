"""Benchmark of a full-size deployment with nine nodes as processes."""

import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

from gypsumbridge_decisions import resources
from gypsumbridge_standins import json_http
from gypsumbridge_standins.bench import load_plan
from gypsumbridge_standins.bench import process_time
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import deployment as deployments

NODES = 9
DOMAINS = ('fd-a', 'fd-b', 'fd-c')
SEARCHER_PROCESSES = 3
# Long enough that the searchers' slots are the bottleneck, not the machine.
SERVICE_MS = 150.0
# The target latencies are scaled up in proportion to the service time.
RANKS = (
    resources.Rank('border', 0, 0.5, 1_500),
    resources.Rank('inspection', 1, 0.25, 4_000),
    resources.Rank('archive', 2, 0.1, 15_000),
)
DURATION_S = 12
NORMAL_SHARES = {'border': 0.2, 'inspection': 0.15, 'archive': 0.1}
FLOOD_FACTOR = 4.0
COUNTERS = ('front.hedged', 'owner.hedges', 'owner.retries', 'endpoint.')


def measure(name: str, seed: int) -> dict[str, Any]:
    """Run the cases of one deployment; return a row per case and rank."""
    groups = {'almaty': build.ALMATY_GROUPS, 'addis': build.ADDIS_GROUPS}[name]
    cluster = clusters.Cluster()
    try:
        searcher_ports = ports.find_free_ports(build.count_searchers(groups))
        deployment = build.build(groups, searcher_ports, SERVICE_MS)
        specs = replace_ranks(deployment)
        start.start_platform(cluster, deployment, processes=SEARCHER_PROCESSES)
        start.declare(cluster, specs)
        start.start_nodes(cluster, NODES, DOMAINS)
        services = [s for s in specs if isinstance(s, resources.Service)]
        # The warm-up opens connections and fills the latency windows.
        run_case(cluster, 'warm', services, seed, NORMAL_SHARES)
        flood = {**NORMAL_SHARES, 'archive': FLOOD_FACTOR}
        rows = run_case(cluster, 'quiet', services, seed, NORMAL_SHARES)
        rows += run_case(cluster, 'flood', services, seed, flood)
        rows += run_replacement(cluster, services, seed)
        return {'deployment': name, 'seed': seed, 'rows': rows}
    finally:
        cluster.stop()


def replace_ranks(
    deployment: deployments.Deployment,
) -> tuple[resources.Spec, ...]:
    """Return the declarations with ranks and times of this benchmark."""
    specs: list[resources.Spec] = list(RANKS)
    for spec in deployment.specs:
        if isinstance(spec, resources.Rank):
            continue
        if isinstance(spec, resources.Service):
            early_ms = int(spec.early_after_ms * SERVICE_MS / 20)
            spec = dataclasses.replace(spec, early_after_ms=early_ms)
        specs.append(spec)
    return tuple(specs)


def run_case(
    cluster: clusters.Cluster,
    case: str,
    services: list[resources.Service],
    seed: int,
    shares: dict[str, float],
) -> list[dict[str, Any]]:
    """Send queries of every rank at its share of the slots."""
    ticks_before = process_time.machine_ticks()
    load_processes = start_load(cluster, services, seed, shares)
    return collect_rows(cluster, case, load_processes, ticks_before)


def run_replacement(
    cluster: clusters.Cluster, services: list[resources.Service], seed: int
) -> list[dict[str, Any]]:
    """Stop and restart three nodes in turn under the normal load.

    Like a load balancer, the load excludes a node as soon as the node is no
    longer ready. Raises RuntimeError if a node exits with an error.
    """
    ticks_before = process_time.machine_ticks()
    load_processes = start_load(cluster, services, seed, NORMAL_SHARES, True)
    for node in list(cluster.nodes.values())[:3]:
        cluster.signal(node.node_id, signal.SIGTERM)
        status = cluster.wait(node.node_id)
        if status:
            raise RuntimeError(f'{node.node_id} ended with status {status}')
        start.start_node(cluster, node, DOMAINS)
        start.wait_ready(node)
    return collect_rows(cluster, 'replacement', load_processes, ticks_before)


def start_load(
    cluster: clusters.Cluster,
    services: list[resources.Service],
    seed: int,
    shares: dict[str, float],
    check_ready: bool = False,
) -> dict[str, Any]:
    """Start one load process per rank."""
    load_processes = {}
    for rank in RANKS:
        plan = load_plan.make_plan(
            services, rank, shares[rank.name], SERVICE_MS, DURATION_S, seed
        )
        path = cluster.folder / f'plan-{rank.name}.json'
        path.write_text(
            json.dumps(
                {
                    'nodes': [n.http for n in cluster.nodes.values()],
                    'check_ready': check_ready,
                    'requests': plan,
                }
            )
        )
        module = 'gypsumbridge_standins.bench.plan_main'
        load_processes[rank.name] = subprocess.Popen(
            [sys.executable, '-m', module, str(path)],
            stdout=subprocess.PIPE,
        )
    return load_processes


def collect_rows(
    cluster: clusters.Cluster,
    case: str,
    load_processes: dict[str, Any],
    ticks_before: tuple[int, int],
) -> list[dict[str, Any]]:
    """Wait until the load ends and return one row per rank."""
    rows = []
    for rank, process in load_processes.items():
        output, _ = process.communicate(timeout=300)
        rows.append({'case': case, 'rank': rank, **json.loads(output)})
    idle = process_time.idle_share_since(ticks_before)
    seen = {**searcher_peaks(cluster), 'counters': node_counters(cluster)}
    return [{**row, 'idle_share': idle, **seen} for row in rows]


def searcher_peaks(cluster: clusters.Cluster) -> dict[str, int]:
    """Return the peaks and sums of the searchers' counts so far."""
    counts: dict[str, Any] = {}
    for control in cluster.controls:
        counts.update(json_http.call_json('GET', control, '/')[1])
    seen = counts.values()
    return {
        'peak_connections': max(s['peak_connections'] for s in seen),
        'refused_connections': sum(s['refused_connections'] for s in seen),
        'peak_running': max(s['peak_running'] for s in seen),
        'searches': sum(s['searches'] for s in seen),
        'cancelled': sum(s['cancelled'] for s in seen),
    }


def node_counters(cluster: clusters.Cluster) -> dict[str, int]:
    """Return the nodes' counters of hedges, retries and endpoint replies.

    Each is the sum over all nodes.
    """
    sums: dict[str, int] = {}
    for node in cluster.nodes.values():
        status = json_http.call_json('GET', node.http, '/v1/nodes')[1]
        for name, value in status['counters'].items():
            if name.startswith(COUNTERS):
                sums[name] = sums.get(name, 0) + value
    return dict(sorted(sums.items()))


if __name__ == '__main__':
    started_s = time.monotonic()
    result = measure(sys.argv[1], int(sys.argv[2]))
    pathlib.Path(sys.argv[3]).write_text(json.dumps(result, indent=1))
    print(f'{time.monotonic() - started_s:.0f} s')
