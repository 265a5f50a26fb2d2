"""The [retry] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """Attempts beyond the first, over all nodes, for each service.

    In each window at most `ratio` times the requests plus `allowance`.
    """

    ratio: float = 0.1
    allowance: float = 10.0
