"""A watch from before the history that the store keeps."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The store must be listed again."""
