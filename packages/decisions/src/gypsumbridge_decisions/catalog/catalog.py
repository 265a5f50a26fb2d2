"""An immutable view of the declared resources."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from gypsumbridge_decisions import resources


@dataclasses.dataclass(frozen=True)
class Catalog:
    """Declared resources by name, as of one revision.

    `replica_sets` lists the endpoints of each (service, replica set),
    sorted by name. `ranks_by_urgency` has the most urgent rank first.
    """

    revision: int
    services: Mapping[str, resources.Service]
    ranks: Mapping[str, resources.Rank]
    limits: Mapping[tuple[str, str], resources.Limit]
    replica_sets: Mapping[tuple[str, str], tuple[resources.Endpoint, ...]]
    ranks_by_urgency: tuple[resources.Rank, ...]


def make_catalog(
    revision: int, declared: Iterable[resources.Resource]
) -> Catalog:
    """Build a catalog from the declared resources of a revision."""
    services: dict[str, resources.Service] = {}
    ranks: dict[str, resources.Rank] = {}
    limits: dict[tuple[str, str], resources.Limit] = {}
    sets: dict[tuple[str, str], list[resources.Endpoint]] = {}
    for resource in declared:
        spec = resource.spec
        if spec is None:
            continue
        if isinstance(spec, resources.Service):
            services[spec.name] = spec
        elif isinstance(spec, resources.Rank):
            ranks[spec.name] = spec
        elif isinstance(spec, resources.Limit):
            limits[(spec.service, spec.rank)] = spec
        else:
            sets.setdefault((spec.service, spec.replica_set), []).append(spec)
    return Catalog(
        revision=revision,
        services=services,
        ranks=ranks,
        limits=limits,
        replica_sets={
            key: tuple(sorted(members, key=lambda e: e.name))
            for key, members in sets.items()
        },
        ranks_by_urgency=tuple(
            sorted(ranks.values(), key=lambda r: (r.urgency, r.name))
        ),
    )


def empty_catalog() -> Catalog:
    """Return the catalog of a node that has not learned any revision."""
    return make_catalog(0, ())
