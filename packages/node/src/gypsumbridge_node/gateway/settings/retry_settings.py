"""The [retry] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """Attempts beyond the first, over all nodes, for each service.

    In each window of `window_s` seconds at most `ratio` times the requests
    plus `allowance`.
    """

    ratio: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0
