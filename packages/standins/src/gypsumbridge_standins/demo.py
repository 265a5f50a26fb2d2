"""Starts a small deployment, sends queries and stops it again."""

import signal
import sys

import defopt

from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import apply
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.cluster import start
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import declaration_files

NODES = 3
DOMAINS = ('fd-a', 'fd-b', 'fd-c')
SERVICE_MS = 15.0


def main(*, keep: bool = False) -> int:
    """Run the demo.

    :param keep: Leave everything running until Ctrl-C.
    """
    # Both signals raise KeyboardInterrupt, also in a background job, so that
    # the processes are stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    cluster = clusters.Cluster()
    failures = 0
    try:
        searcher_ports = ports.find_free_ports(
            build.count_searchers(build.SMALL_GROUPS)
        )
        deployment = build.build(
            build.SMALL_GROUPS, searcher_ports, SERVICE_MS
        )
        start.start_platform(cluster, deployment)
        start.start_nodes(cluster, NODES, DOMAINS)
        apply.apply(cluster, declaration_files.with_limits(deployment.specs))
        failures = send_queries(cluster)
        if keep:
            wait_for_interrupt(cluster)
    finally:
        statuses = cluster.stop()
    failed = {name: status for name, status in statuses.items() if status}
    print(
        f'stopped {len(statuses)} processes, {len(failed)} with an error'
        f' {failed}'
    )
    return 1 if failures or failed else 0


def send_queries(cluster: clusters.Cluster) -> int:
    """Send a query of every rank and service through every node."""
    failures = 0
    for node in cluster.nodes.values():
        for rank in build.RANKS:
            for group in build.SMALL_GROUPS:
                body = {
                    'service': group.service,
                    'rank': rank.name,
                    'caller': 'demo',
                    'deadline_ms': 2_000,
                    'query': {'certificate': f'{node.node_id}-{rank.name}'},
                }
                status, answer = json_http.call_json(
                    'POST', node.http, '/v1/query', body
                )
                if status != 200 or answer['coverage'] < 1:
                    failures += 1
                print(
                    f'{node.node_id} {group.service} {rank.name}: status'
                    f' {status}, snapshot {answer.get("snapshot")}, coverage'
                    f' {answer.get("coverage")}, {answer.get("elapsed_ms")}'
                    ' ms'
                )
    return failures


def wait_for_interrupt(cluster: clusters.Cluster) -> None:
    """Print the addresses and wait for Ctrl-C."""
    for node in cluster.nodes.values():
        print(f'{node.node_id}: http://{node.http}')
    print(f'store: {cluster.store}, host list: {cluster.host_list}')
    print(f'logs: {cluster.folder}; press Ctrl-C to stop')
    try:
        cluster.processes['store'].wait()
    except KeyboardInterrupt:
        print('stopping')


if __name__ == '__main__':
    sys.exit(defopt.run(main))
