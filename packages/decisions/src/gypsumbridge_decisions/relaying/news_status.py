"""How far a node's own news go."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class NewsStatus:
    """The revision that a node knows, and how sure it is of it.

    The store said `age_ms` ago that there was nothing newer. `in_touch` is
    false when that is too long ago, or when the last call failed.
    """

    revision: int
    in_touch: bool
    age_ms: int
