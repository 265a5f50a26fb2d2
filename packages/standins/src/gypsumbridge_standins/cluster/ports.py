"""Free TCP ports on loopback."""

import random
import socket

# Below the ephemeral range; an outgoing connection may take a port of that
# range before its server listens.
FIRST_PORT = 12_000
LAST_PORT = 31_000


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free now, searched from a random start.

    The start is random, so that concurrent test runs rarely pick the same
    ports. Raises OSError if there are too few.
    """
    numbers: list[int] = []
    start = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
    for port in [*range(start, LAST_PORT), *range(FIRST_PORT, start)]:
        if len(numbers) == count:
            return numbers
        if _is_free(port):
            numbers.append(port)
    raise OSError(f'no {count} free ports from {FIRST_PORT} to {LAST_PORT}')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
