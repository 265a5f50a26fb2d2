"""Costs of the declared resources on a node."""

import msgspec

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_standins.capacity import slope
from gypsumbridge_standins.capacity import timing
from gypsumbridge_wire import store

ENDPOINT_COUNTS = (5_000, 10_000, 20_000, 40_000, 75_000)
REPLICAS = 2
SHARDS_PER_SERVICE = 900


def make_endpoint(number: int, leaving: bool = False) -> resources.Endpoint:
    """Return one endpoint of a large deployment."""
    replica_set = number // REPLICAS
    service = replica_set // SHARDS_PER_SERVICE
    return resources.Endpoint(
        name=f'searcher-{number}',
        service=f'service-{service}',
        replica_set=f'set-{replica_set}',
        address=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
        port=8_000,
        failure_domain=f'fd-{number % 26}',
        leaving=leaving,
    )


CHANGES = [(make_endpoint(7), make_endpoint(7, leaving=True))]


def make_declared(count: int) -> list[resources.Resource]:
    """Return endpoints as declared resources."""
    return [
        resources.Resource(resources.Kind.ENDPOINT, e.name, 1, n + 1, '', e)
        for n, e in enumerate(map(make_endpoint, range(count)))
    ]


def make_items(count: int) -> list[messages.StoreItem]:
    """Return endpoints as the store's items, which every node caches."""
    return [
        messages.StoreItem(
            store.encode_key(resource.kind, resource.name),
            store.encode_value(resource),
            resource.revision,
        )
        for resource in make_declared(count)
    ]


def measure() -> list[slope.Slope]:
    """Return memory, change time and transfer size by endpoint count."""
    catalog_memory = []
    item_memory = []
    change_time = []
    transfer_size = []
    for size in ENDPOINT_COUNTS:
        catalog_memory.append(
            (
                size,
                timing.memory_bytes(
                    lambda n=size: catalog.make_catalog(1, make_declared(n))
                ),
            )
        )
        item_memory.append(
            (size, timing.memory_bytes(lambda n=size: make_items(n)))
        )
        built_catalog = catalog.make_catalog(1, make_declared(size))
        change_time.append(
            (
                size,
                timing.processor_us(
                    lambda b=built_catalog: catalog.update_catalog(
                        b, 2, CHANGES
                    ),
                    20,
                ),
            )
        )
        encoded = msgspec.msgpack.encode([r.spec for r in make_declared(size)])
        transfer_size.append((size, len(encoded)))
    return [
        slope.fit_slope(
            'catalog memory', 'endpoints', 'bytes', catalog_memory
        ),
        slope.fit_slope(
            'store items memory', 'endpoints', 'bytes', item_memory
        ),
        slope.fit_slope('catalog change', 'endpoints', 'us', change_time),
        slope.fit_slope(
            'catalog transfer', 'endpoints', 'bytes', transfer_size
        ),
    ]
