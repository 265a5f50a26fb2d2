"""A searcher of the platform's stand-in."""

import hashlib
from typing import Any

from twisted.internet import task

from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_platform import header_names
from gypsumbridge_standins.users_platform import platform_state

NAMES = header_names.HEADERS
SERVICE_TIME_S = 0.005
PAUSE_DELAY_S = 1.0
# Delay of a second copy of a response; by then the connection may be in use
# for the next request.
STRAY_DELAY_S = 0.01
# What a searcher sends without end, and how often, until the caller closes.
ENDLESS_INTERVAL_S = 0.005
ENDLESS = {
    'endless_head': (b'HTTP/1.1 200 OK\r\n', b'X-Fill: ' + b'y' * 16_000),
    'endless_body': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + b'y' * 0x10000,
    ),
    'endless_bytes': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'1\r\ny\r\n' * 20_000 + b'1\r\ny',
    ),
    'endless_chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'4\r\nyyyy\r\n' * 20_000 + b'1\r\ny',
    ),
}
# Statuses that are no answers.
ODD_STATUSES = {'status_000': b' 000 ', 'status_600': b' 600 Odd'}
# A refusing searcher wants no requests for this long.
RETRY_AFTER_MS = 1_500
RECORDS = 20


def records_of(service: str, target: str) -> bytes:
    """Return the records of a service for a target, unsorted."""
    return b''.join(
        hashlib.md5(f'{service} {target} {n}'.encode()).digest()
        for n in range(RECORDS)
    )


def send_endlessly(
    reactor: Any,
    connection: server_connection.ServerConnection,
    start: bytes,
    piece: bytes,
) -> None:
    """Send a start, and then a piece again and again until the close."""
    connection.transport.write(start)

    def send_piece() -> None:
        if not connection.transport.connected:
            sending.stop()
            return
        connection.transport.write(piece + b'\r\n')

    sending = task.LoopingCall(send_piece)
    sending.clock = reactor
    sending.start(ENDLESS_INTERVAL_S)


def make_searcher_handler(
    reactor: Any,
    state: platform_state.PlatformState,
    searcher_id: str,
    service: str,
) -> Any:
    """Return a handler that runs requests under the searcher's fault."""

    def handle(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        request_id = request.headers.first.get(NAMES.request_id, '')
        echo = (NAMES.request_id, request_id)
        if request.headers.first.get(NAMES.expected_searcher) != searcher_id:
            connection.respond(421, (echo,), b'')
            return
        fault = state.faults.get(searcher_id, '')
        if fault == 'shed':
            connection.respond(503, (echo, (NAMES.not_run, '1')), b'')
            return
        if fault == 'busy':
            state.on_event(request_id, searcher_id, platform_state.REFUSED)
            refused = (NAMES.not_run, '1')
            delay = (NAMES.retry_after, str(RETRY_AFTER_MS / 1_000))
            connection.respond(503, (echo, refused, delay), b'')
            return
        state.runs.setdefault(request_id, []).append(searcher_id)
        received = [
            (name, value)
            for name, value in request.headers.lowered()
            if name.replace('_', '-') in (NAMES.key, NAMES.customer)
        ]
        if received:
            state.customer_headers.setdefault(request_id, []).extend(received)
        state.on_event(request_id, searcher_id, platform_state.RAN)
        body = records_of(service, request.target)
        signature = (NAMES.signature, f'{searcher_id}.{request_id}')
        response = http_head.encode_response(
            200, (echo, signature), body, False
        )

        def respond() -> None:
            if request.method == 'HEAD':
                length = (http_head.CONTENT_LENGTH, str(len(body)))
                connection.respond(200, (echo, signature, length), b'')
            elif fault == 'truncate':
                connection.transport.write(response[:-8])
                connection.transport.loseConnection()
            elif fault == 'garbage':
                connection.transport.write(b'\x00\xffnoise\r\n\r\n')
                connection.transport.loseConnection()
            elif fault in ODD_STATUSES:
                odd = response.replace(b' 200 OK', ODD_STATUSES[fault], 1)
                connection.transport.write(odd)
            elif fault == 'extra':
                connection.respond(200, (echo, signature), body)
                connection.transport.write(response)
            elif fault == 'stray':
                connection.respond(200, (echo, signature), body)
                reactor.callLater(
                    STRAY_DELAY_S, connection.transport.write, response
                )
            elif fault in ENDLESS:
                send_endlessly(reactor, connection, *ENDLESS[fault])
            elif fault == 'leaving':
                leaving = (NAMES.leaving, '1')
                connection.respond(200, (echo, signature, leaving), body)
            elif fault == 'error':
                connection.respond(500, (echo, signature), b'failed')
            else:
                connection.respond(200, (echo, signature), body)

        service_s = SERVICE_TIME_S * state.slowness.get(searcher_id, 1)
        delay_s = PAUSE_DELAY_S if fault == 'pause' else service_s
        if fault != 'silent':
            reactor.callLater(delay_s, respond)

    return handle
