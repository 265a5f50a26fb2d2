"""An order to take no new requests."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StopTaking:
    """Refuse new requests as not run; those in progress go on."""
