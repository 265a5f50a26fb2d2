"""Starts gateways on the platform's stand-in and sends them requests."""

import http.client
import signal
import sys

from gypsumbridge_ctl.commands import explain
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

GATEWAYS = 2
SERVICES = ('s1', 's2', 's3', 's4')
TIMEOUT_MS = 2_000
TARGET_LATENCY_MS = 500
ROUTES = (
    operator_config.make_gather_route(
        '/all/', SERVICES, TIMEOUT_MS, TARGET_LATENCY_MS, 5, 0.75
    ),
    operator_config.make_route('/one/', 's1', TIMEOUT_MS, TARGET_LATENCY_MS),
    operator_config.make_route(
        '/once/', 's2', TIMEOUT_MS, TARGET_LATENCY_MS, idempotent=False
    ),
)
REQUESTS = (('/all/', None), ('/one/', None), ('/once/', b'content'))


def main() -> int:
    """Run the demo and return the exit status."""
    # SIGTERM raises KeyboardInterrupt, so that the processes are stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    cluster = clusters.Cluster()
    try:
        config = operator_config.make_config(1, SERVICES, ROUTES)
        gateway_cluster.start_gateway_cluster(
            cluster, config, SERVICES, GATEWAYS
        )
        failures = sum(send_requests(cluster, name) for name in cluster.nodes)
    finally:
        statuses = cluster.stop()
    failed = {n: statuses[n] for n in cluster.nodes if statuses[n]}
    logs = sorted(cluster.folder.glob('gateway-*.log'))
    explain.explain(f'{next(iter(cluster.nodes))}-0', logs)
    print(
        f'stopped {len(statuses)} processes, {len(failed)} with an error'
        f' {failed}'
    )
    return 1 if failures or failed else 0


def send_requests(cluster: clusters.Cluster, name: str) -> int:
    """Send each kind of request to a gateway; return the failure count."""
    failures = 0
    connection = http.client.HTTPConnection(cluster.nodes[name].http)
    for number, (prefix, body) in enumerate(REQUESTS):
        status, headers, content = plain_request.send(
            connection, f'{name}-{number}', f'{prefix}demo', body
        )
        missing = headers.get(plain_request.NAMES.missing_parts, '0')
        print(
            f'{name} {prefix}: status {status}, {len(content)} bytes,'
            f' {missing} parts missing'
        )
        if status != 200 or missing != '0':
            failures += 1
    connection.close()
    return failures


if __name__ == '__main__':
    sys.exit(main())
