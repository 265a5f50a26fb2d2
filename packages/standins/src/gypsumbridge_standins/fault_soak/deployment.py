"""The deployment of a run and its configuration."""

from typing import Any

from gypsumbridge_standins.users_platform import gateway_cluster
from gypsumbridge_standins.users_platform import operator_config

REPLICATED_SERVICES = ('s1', 's2', 's3', 's4', 's5', 's6')
# These have one searcher. Gateways of the other failure domain let gateways of
# its domain gather their parts.
SINGLE_SERVICES = {
    's7': 'd1',
    's8': 'd1',
    's9': 'd1',
    's10': 'd2',
    's11': 'd2',
    's12': 'd2',
}
SERVICES = (*REPLICATED_SERVICES, *SINGLE_SERVICES)
DOMAINS = gateway_cluster.DOMAINS
SEARCHERS = tuple(
    f'{s}-{d}' for s in REPLICATED_SERVICES for d in DOMAINS
) + tuple(f'{s}-{d}' for s, d in SINGLE_SERVICES.items())
# They replace the searchers of a service, one after the other.
SPARES = tuple(f'{s}-new-{d}' for s in REPLICATED_SERVICES for d in DOMAINS)
HOST = operator_config.HOST
TOP_K = 5
MIN_COVERAGE = 0.5
MAX_ATTEMPTS = 2
TIMEOUT_MS = 2_000
TARGET_LATENCY_MS = 400
# Fixed part of the retry budget of all gateways together.
ALLOWANCE = 10
BUDGET_RATIO = 0.1
# Bounds that the users' pages specify.
CONTACT_MS = 4_000
CONFIG_APPLY_MS = 3_000
DRAIN_MS = 3_000
EVACUATION_MS = 5_000
LOSS_SLACK_MS = 200
RECOVERY_MS = 12_000


def marker_prefix(version: int) -> str:
    """Return the prefix of the route that only this version has."""
    return f'/v{version}/'


def make_config(version: int) -> dict[str, Any]:
    """Return the operator's configuration."""
    return operator_config.make_config(
        version,
        SERVICES,
        (
            operator_config.make_gather_route(
                '/all/',
                SERVICES,
                TIMEOUT_MS,
                TARGET_LATENCY_MS,
                TOP_K,
                MIN_COVERAGE,
            ),
            operator_config.make_route(
                '/one/', 's1', TIMEOUT_MS, TARGET_LATENCY_MS
            ),
            operator_config.make_route(
                '/once/', 's2', TIMEOUT_MS, TARGET_LATENCY_MS, idempotent=False
            ),
            operator_config.make_route(
                marker_prefix(version), 's3', TIMEOUT_MS, TARGET_LATENCY_MS
            ),
        ),
    )
