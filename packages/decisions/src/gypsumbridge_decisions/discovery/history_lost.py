"""Notice that the store no longer has the revision of a watch."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The revision was compacted, so the store must be listed again."""
