"""How a query treats the last shards without a result."""

import enum


class LastShards(enum.StrEnum):
    """Wait for them until the deadline, or end the query early."""

    WAIT = 'wait'
    EARLY = 'early'
