"""A node that was asked and gave no usable answer."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerFailed:
    """`reason` names the status or the fault."""

    node_id: str
    reason: str
