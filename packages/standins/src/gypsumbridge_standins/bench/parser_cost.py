"""Processor time of parsing requests at the ingress, by parser.

The ingress reads requests with httptools, and the head of a request that
offers an upgrade twice. The alternative is h11, which needs no second pass.
"""

from collections.abc import Callable
import statistics
import time
from typing import Any

import h11
from twisted.internet import task
from twisted.internet import testing

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import server_factory
from gypsumbridge_platform import header_names

REQUESTS = 2_000
ROUNDS = 7
NAMES = header_names.HEADERS
HEAD = (
    'Host: a.example\r\nUser-Agent: bench\r\nAccept: */*\r\n'
    f'{NAMES.request_id}: 9c41d07be2a35f68\r\n'
    f'{NAMES.deadline_ms}: 300\r\n'
).encode()
OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABkAAQAAP__\r\n'
)
BODY = b'x' * 1_024
LENGTH = b'Content-Length: %d\r\n' % len(BODY)
GET = b'GET /x/2f HTTP/1.1\r\n'
POST = b'POST /x/2f HTTP/1.1\r\n'
FORMS = {
    'GET': GET + HEAD + b'\r\n',
    'POST of 1 kB': POST + HEAD + LENGTH + b'\r\n' + BODY,
    'GET with an offer to upgrade': GET + HEAD + OFFER + b'\r\n',
}

Receive = Callable[[bytes], int]


class _Socket:
    """Accepts everything that is written."""

    def fileno(self) -> int:
        """Return a number of an open descriptor."""
        return 10

    def send(self, data: bytes) -> int:
        """Return the number of bytes, as if all had been sent."""
        return len(data)


class _Transport(testing.StringTransport):
    """A transport without a network."""

    def getHandle(self) -> _Socket:
        """Return the socket."""
        return _Socket()

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing."""


def make_ingress() -> Receive:
    """Return a function that counts the requests that the ingress reads."""
    count = 0

    def accept(connection: Any, request: Any) -> None:
        nonlocal count
        count += 1
        connection.respond(200, (), b'')

    factory = server_factory.make_factory(
        accept, lambda found: None, forwarding.IngressLimits, lambda: False
    )
    connection = factory.buildProtocol(None)
    connection.callLater = task.Clock().callLater
    connection.makeConnection(_Transport())

    def receive(data: bytes) -> int:
        connection.dataReceived(data)
        return count

    return receive


def make_h11() -> Receive:
    """Return a function that counts the requests that h11 reads.

    It answers them as the ingress does, but sets no timeouts and checks no
    limits.
    """
    connection = h11.Connection(h11.SERVER)
    answer = h11.Response(
        status_code=200, headers=[(b'Content-Length', b'0')], reason=b'OK'
    )
    count = 0

    def receive(data: bytes) -> int:
        nonlocal count
        connection.receive_data(data)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return count
            if not isinstance(event, h11.EndOfMessage):
                continue
            count += 1
            connection.send(answer)
            connection.send(h11.EndOfMessage())
            connection.start_next_cycle()

    return receive


def measure() -> list[dict[str, Any]]:
    """Return one row for each form, in microseconds of processor time.

    The parsers take turns; the median and the extremes of the rounds are
    given. Raises RuntimeError if a parser misses a request.
    """
    rows = []
    for form, data in FORMS.items():
        spent: dict[str, list[float]] = {'ingress': [], 'h11': []}
        for _ in range(ROUNDS):
            spent['ingress'].append(measure_once(make_ingress(), data))
            spent['h11'].append(measure_once(make_h11(), data))
        row: dict[str, Any] = {'form': form}
        for name, values in spent.items():
            row[f'{name}_us'] = round(statistics.median(values), 1)
            row[f'{name}_range_us'] = (
                round(min(values), 1),
                round(max(values), 1),
            )
        row['ratio'] = round(row['h11_us'] / row['ingress_us'], 2)
        rows.append(row)
    return rows


def measure_once(receive: Receive, data: bytes) -> float:
    """Return the processor time for each request, in microseconds."""
    started_ns = time.process_time_ns()
    for _ in range(REQUESTS):
        count = receive(data)
    spent_ns = time.process_time_ns() - started_ns
    if count != REQUESTS:
        raise RuntimeError(f'{count} of {REQUESTS} requests were read')
    return spent_ns / 1_000 / REQUESTS
