"""An operator's declaration that is ahead of this node's catalog."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OperatorNotice:
    """Counts until the catalog has reached `revision`."""

    revision: int
    leaving: bool
