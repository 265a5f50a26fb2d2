"""A node of a baseline."""

import collections

from gypsumbridge_standins.policy_bench.baseline import client_query

Waiting = tuple[client_query.ClientQuery, str]


class ClientNode:
    """Queues and outstanding requests of one node for each endpoint.

    `queues` maps an endpoint to a queue for each urgency. `tokens` is the
    node's budget of retries, earned as a share of its first attempts.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.queues: dict[str, dict[int, collections.deque[Waiting]]] = {}
        self.outstanding: dict[str, int] = {}
        self.running: dict[int, Waiting] = {}
        self.next_call_id = 1
        self.tokens = 5.0
