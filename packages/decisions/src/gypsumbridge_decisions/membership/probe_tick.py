"""The start of a probe round."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ProbeTick:
    """Ends the current round and starts the next one."""
