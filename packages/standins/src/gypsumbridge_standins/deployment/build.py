"""Builds the deployments of the two registries and a small one."""

from collections.abc import Iterable

from gypsumbridge_decisions import resources
from gypsumbridge_standins.deployment import deployment
from gypsumbridge_standins.deployment import group as groups
from gypsumbridge_standins.searchers import searcher_spec

VERSION = 'v1'
SLOTS = 2

ALMATY_GROUPS = (
    groups.Group('verify-portal', 20, 2, 25, 6),
    groups.Group('inspector-app', 30, 2, 25, 6),
    groups.Group('audit-desk', 4, 2, 110, 1),
    groups.Group('issuer-console', 2, 2, 110, 1),
)
ADDIS_GROUPS = (
    groups.Group('broker-desk', 20, 2, 25, 6, 1, 0.9, 60),
    groups.Group('editor-queue', 30, 2, 25, 6, 1, 0.9, 120),
    groups.Group('records-room', 2, 2, 35, 1, 1, 0.5, 200),
    groups.Group('billing-ledger', 2, 2, 35, 1, 1, 0.5, 200, 1),
)
SMALL_GROUPS = (
    groups.Group('verify-portal', 6, 2, 25, 6),
    groups.Group('audit-desk', 2, 2, 110, 1),
)
RANKS = (
    resources.Rank('border', 0, 0.5, 200),
    resources.Rank('inspection', 1, 0.25, 500),
    resources.Rank('archive', 2, 0.1, 2_000),
)


def count_searchers(selected: Iterable[groups.Group]) -> int:
    """Return the number of searchers; each needs a port in `build`."""
    return sum(
        group.count_searchers(number)
        for group in selected
        for number in range(group.sets)
    )


def build(
    selected: Iterable[groups.Group],
    ports: Iterable[int],
    service_ms: float,
    domains: tuple[str, ...] = ('fd-a', 'fd-b', 'fd-c'),
    slots: int = SLOTS,
) -> deployment.Deployment:
    """Return declarations and searchers on the given loopback ports.

    Replicas of a set are in different failure domains. `service_ms` is the
    mean time of a search.
    """
    specs: list[resources.Spec] = list(RANKS)
    searchers: list[searcher_spec.SearcherSpec] = []
    unused = iter(ports)
    for group in selected:
        shards: dict[str, str] = {}
        for number in range(group.sets):
            set_name = f'set-{number:02d}'
            names = [
                f's{number * group.shards_per_set + i:03d}'
                for i in range(group.shards_per_set)
            ]
            shards.update(dict.fromkeys(names, set_name))
            for replica in range(group.count_searchers(number)):
                name = f'{group.service}-{set_name}-{"abcdefgh"[replica]}'
                port = next(unused)
                domain = domains[(number + replica) % len(domains)]
                specs.append(
                    resources.Endpoint(
                        name=name,
                        service=group.service,
                        replica_set=set_name,
                        address='127.0.0.1',
                        port=port,
                        failure_domain=domain,
                        slots=slots,
                        connections=group.connections,
                        connect_ms=group.connect_ms,
                    )
                )
                searchers.append(
                    searcher_spec.SearcherSpec(
                        name=name,
                        port=port,
                        shards={VERSION: names},
                        slots=slots,
                        connections=group.connections,
                        connect_ms=group.connect_ms,
                        service_ms=service_ms,
                    )
                )
        specs.append(_make_service(group, shards))
    return deployment.Deployment(tuple(specs), tuple(searchers))


def _make_service(
    group: groups.Group, shards: dict[str, str]
) -> resources.Service:
    last_shards = resources.LastShards.WAIT
    if group.early_after_ms:
        last_shards = resources.LastShards.EARLY
    return resources.Service(
        name=group.service,
        versions=(resources.IndexVersion(VERSION, shards),),
        current_version=VERSION,
        minimum_coverage=group.minimum_coverage,
        last_shards=last_shards,
        early_after_ms=group.early_after_ms,
    )
