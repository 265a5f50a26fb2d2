"""The end of the write of this node's own key."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class NodeWritten:
    """`done` is false when the write failed or its end is not known."""

    done: bool
