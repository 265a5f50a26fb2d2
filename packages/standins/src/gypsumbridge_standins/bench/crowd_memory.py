"""Memory of a gateway under crowds of clients, and who is still served.

`python -m gypsumbridge_standins.bench.crowd_memory [CLIENTS...]` prints a line
of JSON for each case. With GATEWAY_ROOT, the gateway is that of another
checkout, which gets no limits in its settings.
"""

import http.client
import json
import os
import pathlib
import sys
import threading
import time

from gypsumbridge_standins.bench import abuse_memory
from gypsumbridge_standins.bench import crowd_case
from gypsumbridge_standins.bench import crowd_cases
from gypsumbridge_standins.bench import hostile_crowd
from gypsumbridge_standins.bench import process_time
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.cluster import ports
from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

ROOT_VARIABLE = 'GATEWAY_ROOT'
NODE = 'gateway-0'
CLIENTS = (40, 160, 400)
PRESS_S = 8.0
ORDINARY_PAUSE_S = 0.05
# The smallest hosts.
LIMITS = '\n[limits]\nmemory_mb = 152\nmax_fds = 1535\n'


def send_ordinary(address: str) -> bool:
    """Return whether one ordinary request is served."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        status, _, _ = plain_request.send(connection, 'o', '/one/x')
        return status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def measure(
    case: crowd_case.CrowdCase, clients: int, root: pathlib.Path | None
) -> dict[str, object]:
    """Return the peak memory and descriptors, and the ordinary requests."""
    cluster = clusters.Cluster()
    route = operator_config.make_route('/one/', 's1', 5_000, 2_500)
    try:
        gateway_cluster.start_gateway_cluster(
            cluster,
            operator_config.make_config(1, ('s1',), (route,)),
            ('s1',),
            0,
        )
        listen = ports.find_free_ports(gateway_cluster.GATEWAY_PORTS)
        store_port = int(cluster.store.rpartition(':')[2])
        gateway_cluster.write_settings(cluster, 0, listen, store_port)
        if root is None:
            with (cluster.folder / f'{NODE}.ini').open('a') as settings:
                settings.write(LIMITS)
        gateway_cluster.spawn_gateway(
            cluster, NODE, abuse_memory.python_path(root)
        )
        gateway_cluster.wait_until_ready(NODE, listen[1])
        callers = f'127.0.0.1:{listen[0]}'
        clusters.wait_until(lambda: send_ordinary(callers), 'it serves')
        pid = cluster.processes[NODE].pid
        results: list[bool] = []
        descriptors: list[int] = []
        ended = threading.Event()

        def send_until_ended() -> None:
            while not ended.is_set():
                results.append(send_ordinary(callers))
                time.sleep(ORDINARY_PAUSE_S)

        ordinary = threading.Thread(target=send_until_ended)
        ordinary.start()
        address = callers
        if case.port == crowd_cases.READY:
            address = f'127.0.0.1:{listen[1]}'
        hostile_crowd.press(
            address,
            clients,
            case.attack,
            PRESS_S,
            lambda: descriptors.append(
                len(os.listdir(f'/proc/{pid}/fd')),
            ),
        )
        ended.set()
        ordinary.join()
        return {
            'case': case.name,
            'port': case.port,
            'clients': clients,
            'peak_mb': round(process_time.peak_mebibytes(pid)),
            'descriptors': descriptors[0],
            'ordinary_sent': len(results),
            'ordinary_served': sum(results),
            'served_afterwards': send_ordinary(callers),
            'alive': cluster.processes[NODE].poll() is None,
            'load': round(os.getloadavg()[0]),
        }
    finally:
        cluster.stop()


def main() -> None:
    """Measure all cases."""
    name = os.environ.get(ROOT_VARIABLE)
    root = pathlib.Path(name) if name else None
    crowds = [int(text) for text in sys.argv[1:]] or CLIENTS
    for case in crowd_cases.CASES:
        for clients in crowds:
            row = measure(case, clients, root)
            print(json.dumps(row), flush=True)


if __name__ == '__main__':
    main()
