"""The [metrics] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class MetricsSettings:
    """Address and prefix for statsd; with an empty address nothing is sent."""

    statsd_address: str = ''
    prefix: str = 'gypsumbridge'
