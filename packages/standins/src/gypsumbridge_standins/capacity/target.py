"""The target size, and the projected costs of each role at that size."""

from gypsumbridge_standins.capacity import slope

NODES = 8_300
SEARCHERS = 75_000
QUERIES_PER_SECOND = 2_400_000
SHARDS_PER_QUERY = 900
OWNERS_PER_QUERY = 100
CHANGES_PER_DAY = 35_000
SECONDS_PER_DAY = 86_400
SLOTS_PER_SEARCHER = 2
US_PER_SECOND = 1_000_000
BYTES_PER_MEBIBYTE = 1024 * 1024

# Processor time of one request in the client of twisted.web, for sequential
# requests on one connection.
HTTP_REQUEST_US = 470.0

QUERIES_PER_NODE = QUERIES_PER_SECOND / NODES
SHARD_REQUESTS_PER_NODE = QUERIES_PER_NODE * SHARDS_PER_QUERY
SHARD_REQUESTS_PER_SEARCHER = QUERIES_PER_SECOND * SHARDS_PER_QUERY / SEARCHERS
CHANGES_PER_SECOND = CHANGES_PER_DAY / SECONDS_PER_DAY


Row = tuple[str, str, float]


def project(slopes: list[slope.Slope]) -> list[Row]:
    """Return rows (role and cost, unit, value) of a node at the target."""
    by_name = {item.name: item for item in slopes}
    return [
        *_front_rows(by_name),
        *_owner_rows(by_name),
        *_log_rows(by_name),
        *_control_rows(by_name),
    ]


def _front_rows(by_name: dict[str, slope.Slope]) -> list[Row]:
    plan = by_name['front a query'].cost_at(SHARDS_PER_QUERY)
    codec = by_name['codec a query'].cost_at(SHARDS_PER_QUERY)
    sent = by_name['peer bytes a query'].cost_at(SHARDS_PER_QUERY)
    batches = QUERIES_PER_NODE * OWNERS_PER_QUERY
    return [
        ('front: queries', '1/s', QUERIES_PER_NODE),
        ('front: plan and merge', 'cores', _cores(plan, QUERIES_PER_NODE)),
        ('front: batches sent', '1/s', batches),
        ('front and owner: codec', 'cores', _cores(codec, QUERIES_PER_NODE)),
        (
            'front and owner: bytes between nodes',
            'MiB/s',
            sent * QUERIES_PER_NODE / BYTES_PER_MEBIBYTE,
        ),
    ]


def _owner_rows(by_name: dict[str, slope.Slope]) -> list[Row]:
    decisions = by_name['owners a query'].cost_at(SHARDS_PER_QUERY)
    slot_us = SLOTS_PER_SEARCHER * US_PER_SECOND / SHARD_REQUESTS_PER_SEARCHER
    return [
        ('owner: shard requests', '1/s', SHARD_REQUESTS_PER_NODE),
        ('owner: decisions', 'cores', _cores(decisions, QUERIES_PER_NODE)),
        (
            'owner: one HTTP request a shard request',
            'cores',
            _cores(HTTP_REQUEST_US, SHARD_REQUESTS_PER_NODE),
        ),
        ('searcher: shard requests', '1/s', SHARD_REQUESTS_PER_SEARCHER),
        ('searcher: time of a slot for each', 'us', slot_us),
    ]


def _log_rows(by_name: dict[str, slope.Slope]) -> list[Row]:
    written = by_name['log lines written'].per_unit
    suppressed = by_name['log lines left out'].per_unit
    lines = SHARD_REQUESTS_PER_NODE
    return [
        ('log: every line written', 'cores', _cores(written, lines)),
        ('log: every line left out', 'cores', _cores(suppressed, lines)),
    ]


def _control_rows(by_name: dict[str, slope.Slope]) -> list[Row]:
    change = by_name['catalog change'].cost_at(SEARCHERS)
    lookups_ms = (
        by_name['owner look-up'].cost_at(NODES) * OWNERS_PER_QUERY / 1_000
    )
    sizes = (
        ('peer sockets: every node to every node', 'peer sockets', NODES),
        ('configuration: catalog', 'catalog memory', SEARCHERS),
        (
            "configuration: the store's items",
            'store items memory',
            SEARCHERS,
        ),
        (
            'configuration: whole transfer to a new node',
            'catalog transfer',
            SEARCHERS,
        ),
        ('membership: members', 'membership memory', NODES),
    )
    rows: list[Row] = [
        (label, 'MiB', by_name[name].cost_at(size) / BYTES_PER_MEBIBYTE)
        for label, name, size in sizes
    ]
    return [
        *rows,
        (
            'configuration: changes',
            '% of a core',
            100 * _cores(change, CHANGES_PER_SECOND),
        ),
        (
            'routing: look-ups after a membership change',
            'ms for 900 shards of 100 owner groups',
            lookups_ms,
        ),
    ]


def _cores(cost_us: float, per_second: float) -> float:
    return cost_us * per_second / US_PER_SECOND
