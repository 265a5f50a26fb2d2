"""An HTTP request to a server."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """Method, target (path and query), headers and body of a request."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
