"""Peak memory of a gateway under abuse, and its growth with the peers."""

import os
import pathlib

from gypsumbridge_standins.bench import abuse_case
from gypsumbridge_standins.bench import abuse_cases
from gypsumbridge_standins.bench import process_time
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config

PEERS = (10, 40)
# `memoryMb` of the users' smaller sites.
LIMIT_MB = 300
SOURCES = ('decisions', 'wire', 'node')


def measure(baseline: pathlib.Path | None = None) -> list[dict[str, object]]:
    """Return one row for each case.

    With `baseline`, the root of another checkout, its gateway is measured
    beside this one's.
    """
    rows: list[dict[str, object]] = []
    for case in abuse_cases.CASES:
        row: dict[str, object] = {'case': case.name}
        for name, root in (('now', None), ('baseline', baseline)):
            if name == 'baseline' and root is None:
                continue
            peaks = [measure_one(case, peers, root) for peers in PEERS]
            growth = (peaks[1] - peaks[0]) / (PEERS[1] - PEERS[0])
            row[f'{name}_peaks_mb'] = [round(peak) for peak in peaks]
            row[f'{name}_mb_per_peer'] = round(growth, 2)
        rows.append(row)
    return rows


def measure_one(
    case: abuse_case.AbuseCase, peers: int, root: pathlib.Path | None
) -> float:
    """Return the peak resident memory of one gateway in MB."""
    cluster = clusters.Cluster()
    services = abuse_cases.SERVICES
    route = operator_config.make_route(
        abuse_cases.ROUTE_PREFIX,
        's1',
        abuse_cases.DEADLINE_MS,
        abuse_cases.DEADLINE_MS // 2,
    )
    try:
        gateway_cluster.start_gateway_cluster(
            cluster,
            operator_config.make_config(1, services, (route,)),
            services,
            0,
        )
        listen = ports.find_free_ports(gateway_cluster.GATEWAY_PORTS)
        store_port = int(cluster.store.rpartition(':')[2])

        def start() -> None:
            name = gateway_cluster.write_settings(
                cluster, 0, list(listen), store_port
            )
            gateway_cluster.spawn_gateway(cluster, name, python_path(root))
            gateway_cluster.wait_until_ready(name, listen[1])

        case.play(cluster, start, peers)
        pid = cluster.processes[abuse_cases.NODE].pid
        return process_time.peak_mebibytes(pid)
    finally:
        cluster.stop()


def python_path(root: pathlib.Path | None) -> dict[str, str]:
    """Return the environment that runs the gateway of a checkout."""
    if root is None:
        return {}
    folders = [root / 'packages' / name / 'src' for name in SOURCES]
    return {
        'PYTHONPATH': os.pathsep.join(map(str, [*folders, root / 'platform']))
    }
