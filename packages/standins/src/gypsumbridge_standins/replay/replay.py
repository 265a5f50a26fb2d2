"""A fleet in memory that runs the front's and the owner's decisions."""

from collections.abc import Callable
import random
from typing import Any

from gypsumbridge_standins.replay import link_faults
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.replay import replay_node
from gypsumbridge_standins.replay import scheduler


class Replay:
    """Nodes, endpoints, links, and everything that came out of them.

    `answered` receives each answer or refusal with the node's id. The
    same seed gives the same run.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(f'replay {seed}')
        self.scheduler = scheduler.Scheduler()
        self.nodes: dict[str, replay_node.ReplayNode] = {}
        self.endpoints: dict[str, model_endpoint.ModelEndpoint] = {}
        self.faults = link_faults.LinkFaults()
        self.cut: set[frozenset[str]] = set()
        self.counts: dict[str, int] = {}
        self.messages_sent = 0
        self.answered: Callable[[str, Any], None] = lambda node_id, done: None
        self.on_decision: Callable[[str, Any], None] = lambda n, d: None
