"""A complete HTTP response of a server."""

import dataclasses

from gypsumbridge_node.gateway import headers


@dataclasses.dataclass(frozen=True)
class HttpReply:
    """`framed` is false when only the end of the connection ended it."""

    status: int
    headers: headers.Headers
    body: bytes
    framed: bool
