"""The phases of a node's life."""

import enum


class Phase(enum.Enum):
    """In order; a node only moves forward.

    `LAGGING` waits for the balancer, `ANNOUNCING` for the news among the
    nodes, `DRAINING` for work in flight, `LEAVING` for the last bytes.
    """

    SERVING = 'serving'
    LAGGING = 'lagging'
    ANNOUNCING = 'announcing'
    DRAINING = 'draining'
    LEAVING = 'leaving'
    STOPPED = 'stopped'
