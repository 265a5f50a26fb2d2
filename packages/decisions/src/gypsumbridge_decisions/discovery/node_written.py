"""The result of writing this node's own key."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class NodeWritten:
    """`done` is false when the write failed or its result is unknown.

    `era` is that of the response, None if it states none.
    """

    done: bool
    era: int | None = None
