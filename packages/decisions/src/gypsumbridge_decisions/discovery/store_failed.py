"""A failed call to the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreFailed:
    """`reason` names the HTTP status or the error.

    `era` is that of the response, None if there was none or it states none.
    """

    reason: str
    era: int | None = None
