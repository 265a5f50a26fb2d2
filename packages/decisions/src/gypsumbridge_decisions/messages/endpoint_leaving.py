"""News that an endpoint takes no more new work."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointLeaving:
    """Tells an owner that an endpoint is leaving, or that it is back.

    `source` is host_list, reply or operator; each source is withdrawn on
    its own. `revision` is the sender's configuration revision, which orders
    an operator's declarations.
    """

    sender: str
    endpoint: str
    source: str
    leaving: bool
    revision: int = 0
