"""What a query does about the last shards that have not answered."""

import enum


class LastShards(enum.StrEnum):
    """Wait for the deadline, or give up on the last shards early."""

    WAIT = 'wait'
    EARLY = 'early'
