"""The [retry] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """Limit on attempts beyond the first, over all nodes, for each service.

    In each window of `window_s` seconds the nodes send at most `ratio`
    times the number of requests plus `allowance` such attempts.
    """

    ratio: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0
