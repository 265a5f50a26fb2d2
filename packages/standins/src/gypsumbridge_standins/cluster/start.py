"""Starts the platform's stand-ins and nodes."""

import dataclasses
import json

from gypsumbridge_decisions import resources
from gypsumbridge_standins import json_http
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import node_address
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.deployment import deployment as deployments
from gypsumbridge_wire import store

PLATFORM = 'gypsumbridge_standins.platform_main'

SETTINGS = """\
[node]
node_id = {node_id}
failure_domain = {failure_domain}
failure_domains = {failure_domains}
peer_address = {peer}
http_address = {http}

[store]
address = {store}

[host_list]
address = {host_list}

[timing]
balancer_lag_ms = {balancer_lag_ms}

[log]
# High enough that no decision line which a test needs is suppressed.
decision_lines_per_second = 5000

[mutation]
clock_skew_ms = 200
"""


def start_platform(
    cluster: clusters.Cluster,
    deployment: deployments.Deployment,
    lag_ms: int = 0,
    processes: int = 1,
) -> None:
    """Start store, host list and searchers and wait until they respond.

    The searchers are spread over `processes` processes. `lag_ms` is the
    lag of the host list.
    """
    free = ports.find_free_ports(2 + processes)
    cluster.store = f'127.0.0.1:{free[0]}'
    cluster.host_list = f'127.0.0.1:{free[1]}'
    cluster.spawn('store', [PLATFORM, 'store', str(free[0])])
    cluster.spawn(
        'hosts',
        [PLATFORM, 'hosts', str(free[1]), '--lag-ms', str(lag_ms)],
    )
    for number in range(processes):
        part = deployment.searchers[number::processes]
        path = cluster.folder / f'searchers-{number}.json'
        path.write_text(json.dumps([dataclasses.asdict(s) for s in part]))
        control = free[2 + number]
        cluster.controls.append(f'127.0.0.1:{control}')
        cluster.spawn(
            f'searchers-{number}',
            [PLATFORM, 'searchers', str(path), str(control)],
        )
    wait_for = [
        (cluster.store, '/control'),
        (cluster.host_list, '/v1/hosts'),
        *((control, '/') for control in cluster.controls),
    ]
    for address, path in wait_for:
        clusters.wait_until(
            lambda a=address, p=path: clusters.returns_ok(a, p),
            f'{address} responds',
        )


def start_nodes(
    cluster: clusters.Cluster, count: int, domains: tuple[str, ...]
) -> None:
    """Start nodes in the failure domains in turn and wait until ready."""
    free = ports.find_free_ports(2 * count)
    for number in range(count):
        node = node_address.NodeAddress(
            node_id=f'node-{number + 1}',
            failure_domain=domains[number % len(domains)],
            peer=f'127.0.0.1:{free[2 * number]}',
            http=f'127.0.0.1:{free[2 * number + 1]}',
        )
        start_node(cluster, node, domains)
    for node in cluster.nodes.values():
        wait_ready(node)


def start_node(
    cluster: clusters.Cluster,
    node: node_address.NodeAddress,
    domains: tuple[str, ...],
) -> None:
    """Add a node to the host list and start it."""
    cluster.nodes[node.node_id] = node
    list_node(cluster, node, leaving=False)
    path = cluster.folder / f'{node.node_id}.ini'
    path.write_text(
        SETTINGS.format(
            **dataclasses.asdict(node),
            failure_domains=', '.join(domains),
            store=cluster.store,
            host_list=cluster.host_list,
            balancer_lag_ms=cluster.balancer_lag_ms,
        )
    )
    cluster.spawn(node.node_id, ['gypsumbridge_node', str(path)])


def list_node(
    cluster: clusters.Cluster, node: node_address.NodeAddress, leaving: bool
) -> None:
    """Write a node's entry in the host list."""
    entry = {
        'name': node.node_id,
        'role': 'node',
        'failure_domain': node.failure_domain,
        'peer_address': node.peer,
        'http_address': node.http,
        'leaving': leaving,
    }
    json_http.call_json('PUT', cluster.host_list, '/hosts', entry)


def wait_ready(node: node_address.NodeAddress) -> None:
    """Wait until a node accepts new work."""
    clusters.wait_until(
        lambda: clusters.returns_ok(node.http, '/readyz'),
        f'{node.node_id} is ready',
    )


def declare(
    cluster: clusters.Cluster, specs: tuple[resources.Spec, ...]
) -> None:
    """Write declarations to the store, without the operators' API.

    Raises RuntimeError if the store rejects one.
    """
    for spec in specs:
        kind = resources.kind_of(spec)
        resource = resources.Resource(kind, spec.name, 1, 0, 'setup', spec)
        key = store.encode_key(kind, spec.name).replace('/', '%2F')
        status, body = json_http.call_json(
            'PUT',
            cluster.store,
            f'/v1/keys/{key}?if_revision=0',
            json.loads(store.encode_value(resource)),
        )
        if status != 200:
            raise RuntimeError(f'declaring {spec.name} failed: {body}')
