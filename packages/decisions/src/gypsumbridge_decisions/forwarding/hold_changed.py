"""Update of the time for which a searcher without an entry is used."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HoldChanged:
    """The searcher may be sent requests before `until_ms`.

    None means that its entry is back. The time is on the node's clock.
    """

    searcher_id: str
    until_ms: int | None
