"""Tokens that a holder has granted to this node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Grant:
    """`tokens` that may be used before `expires_ms`."""

    tokens: int
    expires_ms: int

    def is_valid(self, now_ms: int) -> bool:
        """Return whether the tokens may be used at a time."""
        return now_ms < self.expires_ms
