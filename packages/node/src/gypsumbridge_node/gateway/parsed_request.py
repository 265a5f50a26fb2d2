"""A request that was read completely from a caller's connection."""

import dataclasses

from gypsumbridge_node.gateway import headers


@dataclasses.dataclass(frozen=True)
class ParsedRequest:
    """Method, target, headers as received, and the decoded body.

    `memory_bytes` is what the connection that read it counts for it.
    """

    method: str
    target: str
    headers: headers.Headers
    body: bytes
    memory_bytes: int = 0
