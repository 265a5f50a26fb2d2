"""A searcher of the platform's stand-in."""

import hashlib
from typing import Any

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
RECORDS = 20


def records_of(service: str, target: str) -> bytes:
    """Return the records of a service for a target, unsorted."""
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
        state.runs.setdefault(request_id, []).append(searcher_id)
        state.on_run(request_id, searcher_id)
        body = records_of(service, request.target)
        signature = (NAMES.signature, f'{searcher_id}.{request_id}')
        response = http_head.encode_response(
            200, (echo, signature), body, False
        )

        def respond() -> None:
            if fault == 'truncate':
                connection.transport.write(response[:-8])
                connection.transport.loseConnection()
            elif fault == 'garbage':
                connection.transport.write(b'\x00\xffnoise\r\n\r\n')
                connection.transport.loseConnection()
            elif fault == 'extra':
                connection.respond(200, (echo, signature), body)
                connection.transport.write(response)
            elif fault == 'stray':
                connection.respond(200, (echo, signature), body)
                reactor.callLater(
                    STRAY_DELAY_S, connection.transport.write, response
                )
            elif fault == 'error':
                connection.respond(500, (echo, signature), b'failed')
            else:
                connection.respond(200, (echo, signature), body)

        delay_s = PAUSE_DELAY_S if fault == 'pause' else SERVICE_TIME_S
        if fault != 'silent':
            reactor.callLater(delay_s, respond)

    return handle
