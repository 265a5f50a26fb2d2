"""The timeout of a request to wait for acceptance."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcceptanceTimeout:
    """`token` is that of the `AwaitAccepted` request."""

    token: str
