"""The reference latency of a fan-out on idle endpoints."""

import functools

from hdrh import histogram

from gypsumbridge_standins.replay import endpoint_run
from gypsumbridge_standins.replay import model_endpoint

DRAWS = 5_000
SERVICE_MS = 20.0


@functools.cache
def slowest_search_p99_ms(shards: int) -> float:
    """Return the 99th percentile of the slowest of `shards` searches.

    The searches start concurrently on idle endpoints. The time includes
    the network latency between a node and an endpoint.
    """
    endpoint = model_endpoint.ModelEndpoint('idle', 1, SERVICE_MS, 0, 0)
    slowest = histogram.HdrHistogram(1, 60_000, 3)
    for _ in range(DRAWS):
        search_ms = max(endpoint.search_time_ms() for _ in range(shards))
        slowest.record_value(search_ms + 2 * endpoint_run.NETWORK_MS)
    return float(slowest.get_value_at_percentile(99))
