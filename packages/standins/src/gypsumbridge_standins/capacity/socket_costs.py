"""Memory of the sockets to other nodes."""

import os
import pathlib

import zmq

from gypsumbridge_standins.capacity import slope

PEER_COUNTS = (50, 100, 200, 400)
RECEIVE_TIMEOUT_MS = 5_000


def measure() -> list[slope.Slope]:
    """Return the resident memory by peer count, with both ends included."""
    context = zmq.Context()
    points = []
    pushes: list[zmq.Socket] = []
    pull = context.socket(zmq.PULL)
    pull.set(zmq.RCVTIMEO, RECEIVE_TIMEOUT_MS)
    port = pull.bind_to_random_port('tcp://127.0.0.1')
    before_bytes = resident_bytes()
    try:
        for size in PEER_COUNTS:
            while len(pushes) < size:
                push = context.socket(zmq.PUSH)
                push.set(zmq.LINGER, 0)
                push.connect(f'tcp://127.0.0.1:{port}')
                push.send(b'message')
                pull.recv()
                pushes.append(push)
            points.append((size, float(resident_bytes() - before_bytes)))
    finally:
        for push in pushes:
            push.close()
        pull.close()
        context.term()
    return [slope.fit_slope('peer sockets', 'peers', 'bytes', points)]


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')
