"""A node of a baseline."""

import collections

from gypsumbridge_standins.policy_bench.baseline import client_query

QueuedShard = tuple[client_query.ClientQuery, str]


class ClientNode:
    """Queues and outstanding requests of one node for each endpoint.

    `queues` maps an endpoint to a queue for each urgency. `retry_tokens` is
    the node's retry budget, which grows by a share of its first attempts.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.queues: dict[str, dict[int, collections.deque[QueuedShard]]] = {}
        self.outstanding: dict[str, int] = {}
        self.running: dict[int, QueuedShard] = {}
        self.next_call_id = 1
        self.retry_tokens = 5.0
