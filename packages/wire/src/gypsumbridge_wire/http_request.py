"""An HTTP request as data."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """Method, path, headers and body; the address is given separately."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
