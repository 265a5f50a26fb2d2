"""Notice that a coordinator gathers a delegated request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DelegationAccepted:
    """The coordinator has started to gather the parts."""

    delegation_id: int
