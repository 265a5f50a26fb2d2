"""A complete HTTP response of a server."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpReply:
    """`framed` is false when only the end of the connection ended it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    framed: bool

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None
