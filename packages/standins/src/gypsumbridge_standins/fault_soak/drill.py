"""A drill in which the store comes back from a copy."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Drill:
    """The times of a drill in ms.

    What was written between `copied_ms` and `began_ms` is not in the copy;
    by `rewritten_ms` its writers have written it again.
    """

    copied_ms: int
    began_ms: int
    rewritten_ms: int
