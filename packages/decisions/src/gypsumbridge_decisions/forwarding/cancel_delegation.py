"""A command to cancel a delegated request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CancelDelegation:
    """Closes the connection on which the request was sent.

    With `suspect`, the coordinator did not react, so that its idle
    connections are closed as well.
    """

    delegation_id: int
    suspect: bool
