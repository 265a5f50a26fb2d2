"""The end of a request that waits for its admission."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AdmissionCancelled:
    """The caller has left, or its deadline has passed."""

    call_id: int
