"""A request that a caller's connection has read in full."""

import dataclasses

from gypsumbridge_node.gateway import headers


@dataclasses.dataclass(frozen=True)
class ParsedRequest:
    """Method, target, headers as sent, and the body without chunking."""

    method: str
    target: str
    headers: headers.Headers
    body: bytes
