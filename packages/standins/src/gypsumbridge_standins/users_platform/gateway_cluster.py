"""Starts the platform's stand-in and gateways as processes."""

from collections.abc import Mapping
import json
import types
from typing import Any

from gypsumbridge_platform import __main__ as platform_main
from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import node_address
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.users_platform import peer_links

MODULE = 'gypsumbridge_standins.users_platform'
GATEWAY = 'gypsumbridge_platform'
DOMAINS = ('d1', 'd2')
RUN_LOG = 'runs.log'
# For callers, readiness and metrics.
GATEWAY_PORTS = 3
# For polls and for delegated gathers of other gateways.
PEER_PORTS = 2
# The capacity of a gateway that gathers for others, and that of the others.
LARGE_CAPACITY = 100
SMALL_CAPACITY = 10
NO_VARIABLES: Mapping[str, str] = types.MappingProxyType({})
NO_SERVICES: Mapping[str, str] = types.MappingProxyType({})

SETTINGS = """\
[node]
node_id = {name}
failure_domain = {domain}
capacity = {capacity}

[listen]
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
metrics = 127.0.0.1:{metrics}
{peers}
[discovery]
store_address = 127.0.0.1:{store}
direct_nodes = 1

[retry]
ratio = {ratio}
allowance = {allowance}

[stop]
grace_s = 6
balancer_lag_ms = 300

[log]
decision_lines_per_second = 5000
{more}"""
PEERS = """\
peers = 127.0.0.1:{links.peers}
advertised_peers = 127.0.0.1:{links.advertised_peers}
gathers = 127.0.0.1:{links.gathers}
advertised_gathers = 127.0.0.1:{links.advertised_gathers}
"""


def start_gateway_cluster(
    cluster: clusters.Cluster,
    config: dict[str, Any],
    services: tuple[str, ...],
    nodes: int,
    relayed: bool = False,
    large: int = 0,
    single_services: Mapping[str, str] = NO_SERVICES,
    more_settings: str = '',
    era: int | None = None,
) -> None:
    """Start the store, two searchers for each service, and gateways.

    A searcher's id is its service and failure domain, joined by a dash.
    `cluster.controls` holds the stand-in's control address. With `relayed`,
    one gateway of each failure domain watches the store for the others. The
    first `large` gateways then gather for the others; with 0, each gathers
    for itself. `single_services` have one searcher, in the failure domain
    that is given. `more_settings` are sections of the gateways' settings.
    The file `runs.log` in the cluster's folder gets the searchers' runs.
    Responses of the store state its `era`, unless it is None.
    """
    ports_per_gateway = GATEWAY_PORTS + PEER_PORTS * relayed
    free_ports = ports.find_free_ports(
        2 + len(services) * len(DOMAINS) + ports_per_gateway * nodes
    )
    store_port, control = free_ports.pop(), free_ports.pop()
    searchers = {
        f'{service}-{domain}': {
            'service': service,
            'port': free_ports.pop(),
            'domain': domain,
        }
        for service in services
        for domain in DOMAINS
        if single_services.get(service, domain) == domain
    }
    plan = {
        'store': store_port,
        'control': control,
        'config': config,
        'searchers': searchers,
        'run_log': str(cluster.folder / RUN_LOG),
        'era': era,
    }
    path = cluster.folder / 'platform.json'
    path.write_text(json.dumps(plan))
    cluster.spawn('platform', [MODULE, str(path)])
    cluster.store = f'127.0.0.1:{store_port}'
    cluster.controls = [f'127.0.0.1:{control}']
    for number in range(nodes):
        start_gateway(
            cluster,
            number,
            [free_ports.pop() for _ in range(ports_per_gateway)],
            LARGE_CAPACITY if number < large else SMALL_CAPACITY,
            more_settings,
        )


def start_gateway(
    cluster: clusters.Cluster,
    number: int,
    listen: list[int],
    capacity: int = SMALL_CAPACITY,
    more_settings: str = '',
) -> None:
    """Start one gateway and wait until it is ready.

    `listen` holds the ports for callers, readiness and metrics, and those
    for other gateways if this one serves them.
    """
    store_port = int(cluster.store.rpartition(':')[2])
    links = None
    if len(listen) > GATEWAY_PORTS:
        peers, gathers = listen[GATEWAY_PORTS:]
        links = peer_links.PeerLinks(peers, peers, gathers, gathers)
    name = write_settings(
        cluster,
        number,
        listen[:GATEWAY_PORTS],
        store_port,
        links=links,
        capacity=capacity,
        more_settings=more_settings,
    )
    spawn_gateway(cluster, name)
    wait_until_ready(name, listen[1])


def wait_until_ready(name: str, ready_port: int) -> None:
    """Wait until a gateway reports that it is ready."""
    clusters.wait_until(
        lambda: clusters.returns_ok(
            f'127.0.0.1:{ready_port}', platform_adapter.READY_PATH
        ),
        f'{name} is ready',
    )


def spawn_gateway(
    cluster: clusters.Cluster,
    name: str,
    variables: Mapping[str, str] = NO_VARIABLES,
) -> None:
    """Start a gateway's process with the settings file written before.

    `variables` are added to its environment.
    """
    path = cluster.folder / f'{name}.ini'
    settings = {platform_main.SETTINGS_VARIABLE: str(path)}
    cluster.spawn(name, [GATEWAY], {**variables, **settings})


def write_settings(
    cluster: clusters.Cluster,
    number: int,
    listen: list[int],
    store_port: int,
    ratio: float = 0.2,
    allowance: float = 50,
    links: peer_links.PeerLinks | None = None,
    capacity: int = SMALL_CAPACITY,
    more_settings: str = '',
) -> str:
    """Write a gateway's settings file and return the gateway's name.

    `listen` holds the ports for callers, readiness and metrics. The gateway
    reaches the store at `store_port`; `ratio` and `allowance` are its retry
    budget. With `links` it relays the store's updates and gathers for other
    gateways.
    """
    name = f'gateway-{number}'
    domain = DOMAINS[number % len(DOMAINS)]
    callers, ready, metrics = listen
    settings = SETTINGS.format(
        name=name,
        domain=domain,
        callers=callers,
        ready=ready,
        metrics=metrics,
        store=store_port,
        ratio=ratio,
        allowance=allowance,
        capacity=capacity,
        peers='' if links is None else PEERS.format(links=links),
        more=more_settings,
    )
    path = cluster.folder / f'{name}.ini'
    path.write_text(settings)
    cluster.nodes[name] = node_address.NodeAddress(
        name, domain, f'127.0.0.1:{metrics}', f'127.0.0.1:{callers}'
    )
    return name
