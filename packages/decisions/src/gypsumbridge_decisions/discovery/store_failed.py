"""A failed call to the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreFailed:
    """`reason` names the HTTP status or the error."""

    reason: str
