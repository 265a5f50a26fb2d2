"""Validation of the gateway's settings."""

import msgspec

from gypsumbridge_node.gateway.settings import gateway_settings
from gypsumbridge_node.gateway.settings import regions
from gypsumbridge_node.settings import checks


def check_regions(value: object) -> tuple[str, str] | None:
    """Check the JSON object of the failure domains' regions."""
    remedy = 'give a JSON object with the region of each failure domain'
    try:
        regions.decode_regions(str(value))
    except msgspec.MsgspecError as error:
        return str(error), remedy
    return None


# A candidate probes each holder once a second, and most nodes are candidates
# of few partitions only as long as there are few.
MAX_PARTITIONS = 64
# While nothing changes, a watch of 3 s proves the copy that the node had when
# it sent the watch, so a proof becomes 6 s old, and more through a relay.
MIN_HOLDER_TTL_S = 10

VALUE_CHECKS: dict[tuple[str, str], checks.Check] = {
    ('node', 'node_id'): checks.check_name,
    ('node', 'failure_domain'): checks.check_name,
    ('node', 'capacity'): checks.in_range(0, 1_000_000_000),
    ('listen', 'callers'): checks.check_address,
    ('listen', 'ready'): checks.check_address,
    ('listen', 'metrics'): checks.check_optional_address,
    ('listen', 'peers'): checks.check_optional_address,
    ('listen', 'advertised_peers'): checks.check_optional_address,
    ('listen', 'gathers'): checks.check_optional_address,
    ('listen', 'advertised_gathers'): checks.check_optional_address,
    ('discovery', 'store_address'): checks.check_address,
    ('discovery', 'timeout_ms'): checks.in_range(10, 60_000),
    ('discovery', 'drain_ms'): checks.in_range(100, 600_000),
    ('discovery', 'direct_nodes'): checks.in_range(0, 1_000_000),
    ('discovery', 'regions'): check_regions,
    ('retry', 'ratio'): checks.in_range(0, 10),
    ('retry', 'allowance'): checks.in_range(0, 1_000_000),
    ('retry', 'window_s'): checks.in_range(0.1, 3_600),
    ('admission', 'control_load'): checks.accept_any,
    ('quota', 'window_s'): checks.in_range(0.1, 3_600),
    ('quota', 'overshoot'): checks.in_range(0, 10),
    ('quota', 'slack'): checks.in_range(0, 1_000_000),
    ('quota', 'partitions'): checks.in_range(1, MAX_PARTITIONS),
    ('quota', 'holder_ttl_s'): checks.in_range(MIN_HOLDER_TTL_S, 3_600),
    ('quota', 'first_start'): checks.accept_any,
    ('limits', 'memory_mb'): checks.in_range(0, 1_000_000),
    ('limits', 'max_fds'): checks.in_range(0, 10_000_000),
    ('stop', 'grace_s'): checks.in_range(1, 3_600),
    ('stop', 'balancer_lag_ms'): checks.in_range(0, 600_000),
    ('log', 'level'): checks.one_of(checks.LOG_LEVELS),
    ('log', 'decision_lines_per_second'): checks.in_range(0, 1_000_000),
}


def check_conflicts(
    settings: gateway_settings.GatewaySettings,
) -> list[checks.Conflict]:
    """Return the values that are valid alone but conflict with others."""
    lag_ms = settings.stop.balancer_lag_ms
    grace_s = settings.stop.grace_s
    if lag_ms is None or grace_s is None or lag_ms < grace_s * 1_000:
        return []
    problem = f'not below grace_s = {grace_s}'
    remedy = 'lower it or raise grace_s'
    return [('stop', 'balancer_lag_ms', lag_ms, problem, remedy)]
