"""Free TCP ports on loopback."""

import collections
import random
import socket

# Below the ephemeral range; an outgoing connection may take a port of that
# range before its server listens.
FIRST_PORT = 12_000
LAST_PORT = 31_000
# A port that was returned is not returned again until this many others were:
# its server may not listen yet when the next ports are searched.
RESERVED_PORTS = 5_000
_reserved: collections.deque[int] = collections.deque(maxlen=RESERVED_PORTS)


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free now, searched from a random start.

    Ports that this process has got before are not returned.
    The start is random, so that concurrent test runs rarely pick the same
    ports. Raises OSError if there are too few.
    """
    numbers: list[int] = []
    start = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
    for port in [*range(start, LAST_PORT), *range(FIRST_PORT, start)]:
        if len(numbers) == count:
            return numbers
        if port in _reserved or not _is_free(port):
            continue
        numbers.append(port)
        _reserved.append(port)
    raise OSError(f'no {count} free ports from {FIRST_PORT} to {LAST_PORT}')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
