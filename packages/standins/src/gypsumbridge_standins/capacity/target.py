"""The target size and what each role would cost there."""

from gypsumbridge_standins.capacity import slope

NODES = 8_300
SEARCHERS = 75_000
QUERIES_PER_SECOND = 2_400_000
SHARDS_PER_QUERY = 900
OWNERS_PER_QUERY = 100
CHANGES_PER_DAY = 35_000
SECONDS_PER_DAY = 86_400
SLOTS_PER_SEARCHER = 2
MICROSECONDS = 1_000_000
MEBIBYTE = 1024 * 1024

# Measured by the bench: processor time of one request at the client's end
# of twisted.web, sequential requests on one connection.
HTTP_REQUEST_US = 470.0

QUERIES_PER_NODE = QUERIES_PER_SECOND / NODES
SHARD_REQUESTS_PER_NODE = QUERIES_PER_NODE * SHARDS_PER_QUERY
SHARD_REQUESTS_PER_SEARCHER = QUERIES_PER_SECOND * SHARDS_PER_QUERY / SEARCHERS
CHANGES_PER_SECOND = CHANGES_PER_DAY / SECONDS_PER_DAY


def project(slopes: list[slope.Slope]) -> list[tuple[str, str, float]]:
    """Return (role and cost, unit, value) rows a node at the target."""
    by_name = {found.name: found for found in slopes}

    def cores(name: str, size: float, per_second: float) -> float:
        return by_name[name].at(size) * per_second / MICROSECONDS

    def mebibytes(name: str, size: float) -> float:
        return by_name[name].at(size) / MEBIBYTE

    log_lines = SHARD_REQUESTS_PER_NODE
    written = by_name['log lines written'].per_unit
    left_out = by_name['log lines left out'].per_unit
    query_bytes = by_name['peer bytes a query'].at(SHARDS_PER_QUERY)
    return [
        ('front: queries', '1/s', QUERIES_PER_NODE),
        (
            'front: plan and merge',
            'cores',
            cores('front a query', SHARDS_PER_QUERY, QUERIES_PER_NODE),
        ),
        (
            'front: batches sent',
            '1/s',
            QUERIES_PER_NODE * OWNERS_PER_QUERY,
        ),
        (
            'front and owner: codec',
            'cores',
            cores('codec a query', SHARDS_PER_QUERY, QUERIES_PER_NODE),
        ),
        (
            'front and owner: bytes between nodes',
            'MiB/s',
            query_bytes * QUERIES_PER_NODE / MEBIBYTE,
        ),
        ('owner: shard requests', '1/s', SHARD_REQUESTS_PER_NODE),
        (
            'owner: decisions',
            'cores',
            cores('owners a query', SHARDS_PER_QUERY, QUERIES_PER_NODE),
        ),
        (
            'owner: one HTTP request a shard request',
            'cores',
            HTTP_REQUEST_US * SHARD_REQUESTS_PER_NODE / MICROSECONDS,
        ),
        (
            'searcher: shard requests',
            '1/s',
            SHARD_REQUESTS_PER_SEARCHER,
        ),
        (
            'searcher: time of a slot for each',
            'us',
            SLOTS_PER_SEARCHER * MICROSECONDS / SHARD_REQUESTS_PER_SEARCHER,
        ),
        ('log: every line written', 'cores', written * log_lines / 1e6),
        ('log: every line left out', 'cores', left_out * log_lines / 1e6),
        (
            'peer sockets: every node to every node',
            'MiB',
            mebibytes('peer sockets', NODES),
        ),
        (
            'configuration: catalog',
            'MiB',
            mebibytes('catalog memory', SEARCHERS),
        ),
        (
            "configuration: the store's items",
            'MiB',
            mebibytes('store items memory', SEARCHERS),
        ),
        (
            'configuration: changes',
            '% of a core',
            100 * cores('catalog change', SEARCHERS, CHANGES_PER_SECOND),
        ),
        (
            'configuration: whole transfer to a new node',
            'MiB',
            mebibytes('catalog transfer', SEARCHERS),
        ),
        ('membership: members', 'MiB', mebibytes('membership memory', NODES)),
        (
            'routing: look-ups after a membership change',
            'ms for 900 shards of 100 owner groups',
            by_name['owner look-up'].at(NODES) * OWNERS_PER_QUERY / 1_000,
        ),
    ]
