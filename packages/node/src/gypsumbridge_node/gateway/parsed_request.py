"""A request that a caller's connection has read in full."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ParsedRequest:
    """Method, target, headers as sent, and the body without chunking."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None
