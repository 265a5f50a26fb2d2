"""A complete HTTP response from a server."""

import dataclasses

from gypsumbridge_node.gateway import headers


@dataclasses.dataclass(frozen=True)
class HttpReply:
    """`framed` is false if only the connection's close marked its end."""

    status: int
    headers: headers.Headers
    body: bytes
    framed: bool
