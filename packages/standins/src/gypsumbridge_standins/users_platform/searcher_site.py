"""A searcher of the platform's stand-in."""

import hashlib
from typing import Any

from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_platform import header_names
from gypsumbridge_standins.users_platform import platform_state

NAMES = header_names.HEADERS
WORK_S = 0.005
PAUSE_S = 1.0
# A second copy of a response arrives so late that the connection may carry
# the next request by then.
STRAY_S = 0.01
RECORDS = 20


def records_of(service: str, target: str) -> bytes:
    """Return the part of a service for a target, in no order."""
    return b''.join(
        hashlib.md5(f'{service} {target} {n}'.encode()).digest()
        for n in range(RECORDS)
    )


def make_searcher_handler(
    reactor: Any,
    state: platform_state.PlatformState,
    searcher_id: str,
    service: str,
) -> Any:
    """Return a function that runs one request, with the fault in force."""

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
        state.runs.setdefault(request_id, []).append(searcher_id)
        state.on_run(request_id, searcher_id)
        body = records_of(service, request.target)
        signature = (NAMES.signature, f'{searcher_id}.{request_id}')
        whole = http_head.encode_response(200, (echo, signature), body, False)

        def respond() -> None:
            if fault == 'truncate':
                connection.transport.write(whole[:-8])
                connection.transport.loseConnection()
            elif fault == 'garbage':
                connection.transport.write(b'\x00\xffnoise\r\n\r\n')
                connection.transport.loseConnection()
            elif fault == 'extra':
                connection.respond(200, (echo, signature), body)
                connection.transport.write(whole)
            elif fault == 'stray':
                connection.respond(200, (echo, signature), body)
                reactor.callLater(STRAY_S, connection.transport.write, whole)
            elif fault == 'error':
                connection.respond(500, (echo, signature), b'failed')
            else:
                connection.respond(200, (echo, signature), body)

        delay_s = PAUSE_S if fault == 'pause' else WORK_S
        if fault != 'silent':
            reactor.callLater(delay_s, respond)

    return handle
