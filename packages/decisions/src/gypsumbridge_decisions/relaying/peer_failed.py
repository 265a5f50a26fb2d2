"""A poll of another node that failed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerFailed:
    """`reason` names the HTTP status or the error."""

    node_id: str
    reason: str
