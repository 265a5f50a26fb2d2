"""Checks references between declared resources."""

from gypsumbridge_decisions import catalog as catalogs
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import resources


def check_references(catalog: catalogs.Catalog, spec: resources.Spec) -> None:
    """Raise DeclarationError if a spec conflicts with other resources.

    Each resource has its own key in the store, so two concurrent writes can
    both pass the check and conflict with each other. The next write of
    either resource is then refused.
    """
    if isinstance(spec, resources.Rank):
        _check_floors(catalog, spec)
    elif isinstance(spec, resources.Limit):
        _check_limit(catalog, spec)
    elif isinstance(spec, resources.Service):
        _check_replica_sets(catalog, spec)


def check_unused(
    catalog: catalogs.Catalog, kind: resources.Kind, name: str
) -> None:
    """Raise DeclarationError if other resources refer to a resource."""
    for limit in catalog.limits.values():
        used = (kind == resources.Kind.RANK and limit.rank == name) or (
            kind == resources.Kind.SERVICE and limit.service == name
        )
        if not used:
            continue
        raise errors.DeclarationError(
            f'limit {limit.name} refers to {kind} {name}',
            f'delete limit {limit.name} first',
        )
    if kind == resources.Kind.ENDPOINT:
        _check_not_last(catalog, name)


def _check_floors(catalog: catalogs.Catalog, rank: resources.Rank) -> None:
    others = sum(
        other.floor
        for other in catalog.ranks.values()
        if other.name != rank.name
    )
    if others + rank.floor < 1:
        return
    raise errors.DeclarationError(
        f'rank {rank.name}: floor is {rank.floor:g}, and the floors of the'
        f' other ranks add up to {others:g}',
        f'use a floor below {1 - others:g}, or lower another rank first',
    )


def _check_limit(catalog: catalogs.Catalog, limit: resources.Limit) -> None:
    if limit.rank not in catalog.ranks:
        raise errors.DeclarationError(
            f'limit {limit.name}: rank {limit.rank} is not declared',
            f'use one of {sorted(catalog.ranks)}, or declare it first',
        )
    if limit.service not in catalog.services:
        raise errors.DeclarationError(
            f'limit {limit.name}: service {limit.service} is not declared',
            f'use one of {sorted(catalog.services)}, or declare it first',
        )
    other = catalog.limits.get((limit.service, limit.rank))
    if other is not None and other.name != limit.name:
        raise errors.DeclarationError(
            f'limit {limit.name}: limit {other.name} already covers rank'
            f' {limit.rank} of service {limit.service}',
            f'change limit {other.name} instead, or delete it first',
        )


def _check_replica_sets(
    catalog: catalogs.Catalog, service: resources.Service
) -> None:
    for version in service.versions:
        for replica_set in sorted(set(version.shards.values())):
            if catalog.replica_sets.get((service.name, replica_set)):
                continue
            raise errors.DeclarationError(
                f'service {service.name}: version {version.name} refers to'
                f' replica set {replica_set}, which has no endpoint',
                'declare an endpoint of that replica set first',
            )


def _check_not_last(catalog: catalogs.Catalog, name: str) -> None:
    for (service_name, replica_set), found in catalog.replica_sets.items():
        if [endpoint.name for endpoint in found] != [name]:
            continue
        service = catalog.services.get(service_name)
        for version in service.versions if service else ():
            if replica_set not in version.shards.values():
                continue
            raise errors.DeclarationError(
                f'endpoint {name} is the last of replica set {replica_set},'
                f' which is in use by version {version.name} of service'
                f' {service_name}',
                'declare another endpoint of the set, or change the service',
            )
