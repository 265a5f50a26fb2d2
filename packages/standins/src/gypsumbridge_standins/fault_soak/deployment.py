"""The deployment of a run and its configuration."""

from typing import Any

from gypsumbridge_standins.users_platform import gateway_cluster

SERVICES = ('s1', 's2', 's3', 's4', 's5', 's6')
DOMAINS = gateway_cluster.DOMAINS
SEARCHERS = tuple(f'{s}-{d}' for s in SERVICES for d in DOMAINS)
HOST = 'a.example'
TOP_K = 5
MIN_COVERAGE = 0.5
MAX_ATTEMPTS = 2
TIMEOUT_MS = 2_000
OBJECTIVE_MS = 400
# Fixed part of the retry budget, all gateways together.
ALLOWANCE = 50
# Bounds of the deployment, in ms; figures as the users' pages give them.
CONTACT_MS = 4_000
CONFIG_APPLY_MS = 3_000
DRAIN_MS = 3_000
LOSS_SLACK_MS = 200
RECOVERY_MS = 12_000


def marker_prefix(version: int) -> str:
    """Return the prefix of the route that only one version has."""
    return f'/v{version}/'


def make_config(version: int) -> dict[str, Any]:
    """Return the operator's configuration."""

    def route(prefix: str, kind: str, **target: Any) -> dict[str, Any]:
        return {
            'name': f'r{prefix}',
            'hostname': HOST,
            'prefix': prefix,
            'routeType': kind,
            'timeoutMs': TIMEOUT_MS,
            'targetLatencyMs': OBJECTIVE_MS,
            'maxAttempts': MAX_ATTEMPTS,
            **target,
        }

    return {
        'version': version,
        'routes': [
            route(
                '/all/',
                'safe',
                gather=list(SERVICES),
                topK=TOP_K,
                minCoverage=MIN_COVERAGE,
            ),
            route('/one/', 'safe', backend='s1'),
            route('/once/', 'unsafe', backend='s2'),
            route(marker_prefix(version), 'safe', backend='s3'),
        ],
        'backends': [
            {'name': name, 'maxConnections': 200} for name in SERVICES
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 262_144,
            'headerTimeoutMs': 10_000,
            'idleTimeoutMs': 60_000,
        },
    }
