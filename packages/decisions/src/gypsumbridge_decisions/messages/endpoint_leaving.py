"""A notice that an endpoint is leaving or has resumed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointLeaving:
    """Sent to an owner; a leaving endpoint gets no new work.

    `source` is host_list, reply or operator; the notice of one source does
    not withdraw that of another. `revision` is the sender's configuration
    revision, which orders an operator's declarations.
    """

    sender: str
    endpoint: str
    source: str
    leaving: bool
    revision: int = 0
