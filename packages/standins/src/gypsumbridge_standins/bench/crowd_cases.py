"""Clients that send ahead without reading, or without end."""

from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.bench import crowd_case
from gypsumbridge_standins.bench import hostile_crowd
from gypsumbridge_standins.users_platform import operator_config
from gypsumbridge_standins.users_platform import plain_request

CALLERS = 'callers'
READY = 'ready'
DEADLINE_MS = 20_000
HEADERS = (
    f'Host: {operator_config.HOST}\r\n'
    f'{plain_request.NAMES.request_id}: a\r\n'
    f'{plain_request.NAMES.deadline_ms}: {DEADLINE_MS}\r\n'
).encode()
HEAD = b'GET /one/x HTTP/1.1\r\n' + HEADERS
CHUNKED = (
    b'POST /one/x HTTP/1.1\r\n'
    + HEADERS
    + b'Transfer-Encoding: chunked\r\n\r\n'
)
FILL = b'y' * 65_536
FIELDS = b'a: b\r\n' * 10_000
BODY_BYTES = operator_config.LIMITS.max_body_bytes
READY_PATH = platform_adapter.READY_PATH


def make_case(
    name: str, port: str, start: bytes, piece: bytes, reads: bool = False
) -> crowd_case.CrowdCase:
    """Return a case."""
    return crowd_case.CrowdCase(
        name, port, hostile_crowd.Attack(start, piece, reads)
    )


def make_ahead(name: str, port: str, target: str) -> crowd_case.CrowdCase:
    """Return the case of requests whose answers are not read."""
    request = f'GET {target} HTTP/1.1\r\n'.encode() + HEADERS + b'\r\n'
    return make_case(name, port, b'', request * 500)


CASES = (
    make_ahead('unrouted paths ahead', CALLERS, '/none'),
    make_ahead('a routed path ahead', CALLERS, '/one/x'),
    make_ahead('the ready path ahead', CALLERS, READY_PATH),
    make_ahead('the ready path ahead', READY, READY_PATH),
    make_ahead('unrouted paths ahead', READY, '/none'),
    make_case('a head without end', CALLERS, HEAD + b'X: ', FILL),
    make_case('a head without end', READY, HEAD + b'X: ', FILL),
    make_case('fields without end', CALLERS, HEAD, FIELDS),
    make_case('trailers', CALLERS, CHUNKED + b'0\r\n', FIELDS),
    make_case('a trailer', CALLERS, CHUNKED + b'0\r\nX: ', FILL),
    make_case('a chunk extension', CALLERS, CHUNKED + b'1;', FILL),
    make_case('empty lines', CALLERS, b'', b'\r\n' * 30_000),
    make_case('empty lines', READY, b'', b'\r\n' * 30_000),
    make_case(
        'bodies but for their end', CALLERS, CHUNKED + b'3f000\r\n', FILL[:9]
    ),
    make_case('half of a head', CALLERS, HEAD + b'X: ' + FILL[:9_000], b''),
    make_case('nothing', CALLERS, b'', b''),
)
