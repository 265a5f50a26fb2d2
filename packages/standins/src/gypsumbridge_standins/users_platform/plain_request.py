"""A caller's request to a gateway."""

from collections.abc import Mapping
import http.client
import types

from gypsumbridge_platform import header_names
from gypsumbridge_standins.users_platform import operator_config

NAMES = header_names.HEADERS
DEADLINE_MS = 5_000
NO_HEADERS: Mapping[str, str] = types.MappingProxyType({})


def send(
    connection: http.client.HTTPConnection,
    request_id: str,
    target: str,
    body: bytes | None = None,
    deadline_ms: int = DEADLINE_MS,
    more_headers: Mapping[str, str] = NO_HEADERS,
) -> tuple[int, http.client.HTTPMessage, bytes]:
    """Send a GET, or a POST if there is a body, and read the response.

    Returns status, headers and body. Raises OSError or HTTPException if
    the connection ends without a complete response.
    """
    headers = {
        'Host': operator_config.HOST,
        NAMES.request_id: request_id,
        NAMES.deadline_ms: str(deadline_ms),
        **more_headers,
    }
    method = 'GET' if body is None else 'POST'
    connection.request(method, target, body, headers)
    response = connection.getresponse()
    return response.status, response.headers, response.read()
