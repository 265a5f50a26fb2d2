"""A search service that callers may query."""

import dataclasses

from gypsumbridge_decisions import errors
from gypsumbridge_decisions.resources import index_version
from gypsumbridge_decisions.resources import last_shards as last


@dataclasses.dataclass(frozen=True)
class Service:
    """A declared search service.

    `minimum_coverage` is the share of shards in [0, 1] below which a query
    is refused instead of answered. With `last_shards` set to early, a query
    with that coverage ends after `early_after_ms` without the remaining
    shards. A call is hedged after the `hedge_percentile` of the latency of
    its replica set. `extra_load_share` bounds hedges and retries as a share
    of recent first attempts. Replica sets are distributed over
    `owner_groups` groups with one owner each; with 0, each replica set is a
    group of its own.
    """

    name: str
    versions: tuple[index_version.IndexVersion, ...]
    current_version: str
    minimum_coverage: float = 1.0
    last_shards: last.LastShards = last.LastShards.WAIT
    early_after_ms: int = 0
    hedge_percentile: float = 95.0
    extra_load_share: float = 0.05
    owner_groups: int = 0

    def version(self, name: str) -> index_version.IndexVersion | None:
        """Return the declared index version, or None."""
        for candidate in self.versions:
            if candidate.name == name:
                return candidate
        return None


def check_service(service: Service) -> None:
    """Raise DeclarationError if a field is missing or out of range."""
    names = [version.name for version in service.versions]
    if len(set(names)) != len(names):
        raise errors.DeclarationError(
            f'service {service.name}: versions has a duplicate name in'
            f' {names}',
            'give each index version a unique name',
        )
    current = service.version(service.current_version)
    if current is None:
        raise errors.DeclarationError(
            f'service {service.name}: current_version is'
            f' {service.current_version}, which is not listed in versions',
            f'use one of {names}',
        )
    for version in service.versions:
        if not version.shards:
            raise errors.DeclarationError(
                f'service {service.name}: version {version.name} has no'
                ' shards',
                'map at least one shard to a replica set',
            )
    _check_shares(service)


def _check_shares(service: Service) -> None:
    for field, value, high in (
        ('minimum_coverage', service.minimum_coverage, 1.0),
        ('extra_load_share', service.extra_load_share, 1.0),
        ('hedge_percentile', service.hedge_percentile, 100.0),
    ):
        if 0 <= value <= high:
            continue
        raise errors.DeclarationError(
            f'service {service.name}: {field} is {value}',
            f'use a number from 0 to {high:g}',
        )
    if service.owner_groups < 0:
        raise errors.DeclarationError(
            f'service {service.name}: owner_groups is {service.owner_groups}',
            'use 0 for one owner per replica set, or a number of groups',
        )
    if service.early_after_ms < 0:
        raise errors.DeclarationError(
            f'service {service.name}: early_after_ms is'
            f' {service.early_after_ms}',
            'use a non-negative number of milliseconds',
        )
