"""A call to the store without a usable response."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreFailed:
    """`reason` names the status or the fault."""

    reason: str
