"""Clients that send what they like and read as little as they like."""

from collections.abc import Callable
import dataclasses
import selectors
import socket
import time

POLL_S = 0.02
CONNECT_TIMEOUT_S = 5
READ_BYTES = 512


@dataclasses.dataclass(frozen=True)
class Attack:
    """What each client sends: `start` once, then `piece` again and again.

    Without a `piece` it leaves the connection as it is. With `reads` it
    reads a few bytes at a time. One that is disconnected connects again.
    """

    start: bytes = b''
    piece: bytes = b''
    reads: bool = False


def press(
    address: str,
    count: int,
    attack: Attack,
    seconds: float,
    at_end: Callable[[], None],
) -> None:
    """Attack an address with `count` clients at once, then close them.

    `at_end` is called before they are closed.
    """
    host, port = address.split(':')
    opened: dict[socket.socket, bytes] = {}
    with selectors.DefaultSelector() as selector:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for _ in range(count - len(opened)):
                client = _connect(host, int(port))
                if client is None:
                    break
                opened[client] = attack.start
                selector.register(client, _events(attack, attack.start))
            busy = False
            for key, events in selector.select(POLL_S):
                client = key.fileobj
                busy = busy or bool(events & selectors.EVENT_WRITE)
                try:
                    _serve(opened, client, events, attack)
                except BlockingIOError:
                    continue
                except OSError:
                    selector.unregister(client)
                    client.close()
                    del opened[client]
                    continue
                selector.modify(client, _events(attack, opened[client]))
            if not busy:
                # What is not read stays readable.
                time.sleep(POLL_S)
        at_end()
        for client in opened:
            selector.unregister(client)
            client.close()


def _connect(host: str, port: int) -> socket.socket | None:
    try:
        client = socket.create_connection((host, port), CONNECT_TIMEOUT_S)
    except OSError:
        return None
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.setblocking(False)
    return client


def _events(attack: Attack, left: bytes) -> int:
    """Return what to wait for; a close shows only to those who wait."""
    if left or attack.piece:
        writes = selectors.EVENT_WRITE
        return writes | selectors.EVENT_READ if attack.reads else writes
    return selectors.EVENT_READ


def _serve(opened, client, events, attack) -> None:
    """Send and read once; raises OSError if the connection has ended."""
    if events & selectors.EVENT_READ:
        if attack.reads:
            found = client.recv(READ_BYTES)
        else:
            # Without `reads`, what has arrived is left where it is.
            found = client.recv(1, socket.MSG_PEEK)
        if not found:
            raise ConnectionResetError
    if events & selectors.EVENT_WRITE:
        left = opened[client] or attack.piece
        opened[client] = left[client.send(left) :]
