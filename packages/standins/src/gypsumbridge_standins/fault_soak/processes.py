"""Starts the processes of a run and the links between them."""

from collections.abc import Callable
import dataclasses
import json
import re

from gypsumbridge_platform import header_names
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import log_lines
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import link_proxy
from gypsumbridge_standins.fault_soak import link_state
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import peer_links
from gypsumbridge_standins.users_platform import platform_state

RUN_LOG_NAME = 'runs-{number}.log'
PLATFORM_COUNT = 2
FIRST_ERA = 1
REQUEST_ID = re.compile(
    header_names.HEADERS.request_id.encode() + rb': (\S+)', re.IGNORECASE
)
PORTS_PER_GATEWAY = 9
# The first gateways gather for the others, one in each failure domain.
LARGE_GATEWAYS = len(deployment.DOMAINS)


def start(state: soak_state.SoakState) -> None:
    """Start stand-ins, links and gateways without waiting for them.

    The first stand-in serves the store and the searchers of the first
    failure domain. The second one serves the other searchers, so that it
    can be killed without the store.
    """
    searcher_ids = (*deployment.SEARCHERS, *deployment.SPARES)
    count = len(searcher_ids)
    free_ports = ports.find_free_ports(
        2 * PLATFORM_COUNT
        + 2 * count
        + PORTS_PER_GATEWAY * state.plan.gateways
    )
    searchers = {}
    for searcher_id in searcher_ids:
        service = searcher_id.partition('-')[0]
        domain = searcher_id.rpartition('-')[2]
        port, proxy = free_ports.pop(), free_ports.pop()
        searchers[searcher_id] = {
            'service': service,
            'port': port,
            'domain': domain,
            'address': f'127.0.0.1:{proxy}',
            'spare': searcher_id in deployment.SPARES,
        }
        # All searchers of a failure domain are behind one link.
        add_link(state, f'searchers/{domain}', proxy, port)
    for number, domain in enumerate(deployment.DOMAINS):
        plan = {
            'store': free_ports.pop(),
            'control': free_ports.pop(),
            'config': deployment.make_config(1),
            'searchers': searchers,
            'era': FIRST_ERA if state.plan.eras else None,
            'serves': [s for s in searchers if s.endswith(f'-{domain}')],
            'run_log': str(
                state.cluster.folder / RUN_LOG_NAME.format(number=number)
            ),
        }
        path = state.cluster.folder / f'platform-{number}.json'
        path.write_text(json.dumps(plan))
        state.cluster.controls.append(f'127.0.0.1:{plan["control"]}')
        if number == 0:
            store = plan['store']
        spawn_platform(state.cluster, number)
    for number in range(state.plan.gateways):
        listen = [free_ports.pop() for _ in range(PORTS_PER_GATEWAY)]
        start_gateway(state, number, listen, store)


def spawn_platform(cluster: clusters.Cluster, number: int) -> None:
    """Start one of the stand-ins."""
    path = cluster.folder / f'platform-{number}.json'
    cluster.spawn(f'platform-{number}', [gateway_cluster.MODULE, str(path)])


def start_gateway(
    state: soak_state.SoakState, number: int, listen: list[int], store: int
) -> None:
    """Start a gateway with links to callers, store and other gateways."""
    callers, ready, metrics, callers_link, store_link, *peer_ports = listen
    links = peer_links.PeerLinks(*peer_ports)
    name = gateway_cluster.write_settings(
        state.cluster,
        number,
        [callers, ready, metrics],
        store_link,
        deployment.BUDGET_RATIO,
        deployment.ALLOWANCE,
        links if state.plan.relayed else None,
        gateway_cluster.LARGE_CAPACITY
        if number < LARGE_GATEWAYS
        else gateway_cluster.SMALL_CAPACITY,
    )
    node = state.cluster.nodes[name]
    state.cluster.nodes[name] = dataclasses.replace(
        node, http=f'127.0.0.1:{callers_link}'
    )
    state.ready_addresses[name] = f'127.0.0.1:{ready}'
    state.links[f'callers/{name}'] = link_state.LinkState(
        make_forward_recorder(state)
    )
    add_link(state, f'callers/{name}', callers_link, callers)
    add_link(state, f'store/{name}', store_link, store)
    add_link(state, f'peers/{name}', links.advertised_peers, links.peers)
    add_link(state, f'peers/{name}', links.advertised_gathers, links.gathers)
    gateway_cluster.spawn_gateway(state.cluster, name)


def make_forward_recorder(
    state: soak_state.SoakState,
) -> Callable[[bytes], None]:
    """Return a function that records when a request was forwarded."""

    def record_forwarded(data: bytes) -> None:
        for request_id in REQUEST_ID.findall(data):
            state.forwarded_ms[request_id.decode()] = state.clock.now_ms()

    return record_forwarded


def add_link(
    state: soak_state.SoakState, name: str, port: int, target: int
) -> None:
    """Listen at a port of a link; a link may have several ports."""
    link = state.links.setdefault(name, link_state.LinkState())
    link_proxy.listen(state.reactor, port, target, link)


def read_runs(state: soak_state.SoakState) -> list[run_record.RunRecord]:
    """Return the runs and refusals that searchers have logged so far."""
    records = []
    for number in range(PLATFORM_COUNT):
        path = state.cluster.folder / RUN_LOG_NAME.format(number=number)
        for line in log_lines.read_complete_lines(path):
            at_ms, request_id, searcher_id, event = line.split()
            records.append(
                run_record.RunRecord(
                    int(at_ms),
                    request_id,
                    searcher_id,
                    event == platform_state.REFUSED,
                )
            )
    return records
