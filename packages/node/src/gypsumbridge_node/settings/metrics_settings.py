"""The [metrics] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class MetricsSettings:
    """Where statsd listens; an empty address sends nothing."""

    statsd_address: str = ''
    prefix: str = 'gypsumbridge'
