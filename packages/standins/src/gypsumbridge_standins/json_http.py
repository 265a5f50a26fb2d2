"""JSON requests over HTTP for tests and tools."""

import http.client
import json
from typing import Any


def call_json(
    method: str, address: str, path: str, body: Any = None, timeout_s=10.0
) -> tuple[int, Any]:
    """Send one request to `ip:port` and return status and decoded body.

    Raises OSError or http.client.HTTPException if there is no response.
    """
    host, port = address.rsplit(':', 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else None
    finally:
        connection.close()
