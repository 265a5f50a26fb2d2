"""An HTTP response as data."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """Status, headers with lower-case names, and body."""

    status: int
    headers: Mapping[str, str]
    body: bytes
