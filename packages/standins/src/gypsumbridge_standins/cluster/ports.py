"""Free TCP ports on loopback."""

import random
import socket

# Below the range from which the system takes ports for outgoing connections;
# a port from that range may be taken before its server listens.
FIRST_PORT = 12_000
LAST_PORT = 31_000


def free_ports(count: int) -> list[int]:
    """Return ports that were free just now, from a random start.

    The start is random so that two test runs at the same time rarely pick
    the same ports.
    """
    found: list[int] = []
    start = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
    for port in [*range(start, LAST_PORT), *range(FIRST_PORT, start)]:
        if len(found) == count:
            return found
        if _is_free(port):
            found.append(port)
    raise OSError(f'no {count} free ports from {FIRST_PORT} to {LAST_PORT}')


def _is_free(port: int) -> bool:
    with socket.socket() as opened:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            opened.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
