"""The phases of a node's lifecycle."""

import enum


class Phase(enum.Enum):
    """The phases in order; a node never returns to an earlier one.

    `LAGGING` waits until the load balancer stops sending requests,
    `ANNOUNCING` until the other nodes have been notified, `DRAINING` until
    no work is in flight, `LEAVING` until the last bytes are written.
    """

    SERVING = 'serving'
    LAGGING = 'lagging'
    ANNOUNCING = 'announcing'
    DRAINING = 'draining'
    LEAVING = 'leaving'
    STOPPED = 'stopped'
