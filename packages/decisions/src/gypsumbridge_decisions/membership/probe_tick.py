"""The start of a probe round."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ProbeTick:
    """Ends the last round and starts the next one."""
