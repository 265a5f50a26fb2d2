"""The entry in the store that names a partition's holder."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HolderRecord:
    """`node_id` holds `partition`; it is empty if there is no entry.

    `claim` grows with each change of the holder. It is odd until the holder
    has waited for all earlier ones to end, and even from then on. `revision`
    is that of the entry, 0 without one, within `era`.
    """

    partition: int
    node_id: str
    claim: int
    revision: int
    era: int = 0
