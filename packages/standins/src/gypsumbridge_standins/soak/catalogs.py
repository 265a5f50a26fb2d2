"""Declarations of a soak and their changes."""

import dataclasses

from gypsumbridge_decisions import resources
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import deployment as deployments

PORTS = range(20_000, 21_000)
SERVICE_MS = 15.0
# The services have different policies, so that both refusals and partial
# answers occur.
MINIMUM_COVERAGE = {'verify-portal': 1.0, 'audit-desk': 0.5}
LAST_SHARDS = {
    'verify-portal': resources.LastShards.WAIT,
    'audit-desk': resources.LastShards.EARLY,
}
EARLY_AFTER_MS = 60


def make_deployment() -> deployments.Deployment:
    """Return the deployment of soaks, at index version 1."""
    deployment = build.build(build.SMALL_GROUPS, PORTS, SERVICE_MS)
    specs = tuple(
        at_version(spec, 1) if isinstance(spec, resources.Service) else spec
        for spec in deployment.specs
    )
    return dataclasses.replace(deployment, specs=specs)


def at_version(service: resources.Service, number: int) -> resources.Service:
    """Return a service whose index is at a version.

    Each version has its own shard map: odd versions have one shard per
    replica set, even ones two.
    """
    sets = sorted(set(service.versions[0].shards.values()))
    copies = 1 if number % 2 else 2
    shards = {
        f'{name}-{copy}': name for name in sets for copy in range(copies)
    }
    version = resources.IndexVersion(f'v{number}', shards)
    return resources.Service(
        name=service.name,
        versions=(version,),
        current_version=version.name,
        minimum_coverage=MINIMUM_COVERAGE[service.name],
        last_shards=LAST_SHARDS[service.name],
        early_after_ms=EARLY_AFTER_MS,
    )
