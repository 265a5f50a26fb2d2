"""A fleet in memory that runs the program's decisions."""

from collections.abc import Callable
import random
from typing import Any

from gypsumbridge_standins.replay import link_faults
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.replay import model_hosts
from gypsumbridge_standins.replay import model_store
from gypsumbridge_standins.replay import replay_node
from gypsumbridge_standins.replay import scheduler


class Replay:
    """Nodes, endpoints, links, and everything that came out of them.

    `answered` receives each answer or refusal with the node's id. The
    same seed gives the same run. The other functions are told of each
    execution of a mutation, reply that says draining, revision in force,
    accepted change, host list and exit, and of each message that a full
    node has handled; `count_open` returns how many callers wait at a node.
    With `through_codec`, messages between nodes are encoded and decoded.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(f'replay {seed}')
        self.scheduler = scheduler.Scheduler()
        self.nodes: dict[str, replay_node.ReplayNode] = {}
        self.endpoints: dict[str, model_endpoint.ModelEndpoint] = {}
        self.faults = link_faults.LinkFaults()
        self.cut: set[frozenset[str]] = set()
        self.counts: dict[str, int] = {}
        self.messages_sent = 0
        self.through_codec = False
        self.answered: Callable[[str, Any], None] = lambda node_id, done: None
        self.on_decision: Callable[[str, Any], None] = lambda n, d: None
        self.store = model_store.ModelStore()
        self.hosts = model_hosts.ModelHosts()
        self.domains: tuple[str, ...] = ()
        self.wall_offsets_ms: dict[str, int] = {}
        self.starts = 0
        self.count_open: Callable[[str], int] = lambda node_id: 0
        self.on_executed: Callable[[str, Any], None] = lambda n, r: None
        self.on_publish: Callable[[str, int], None] = lambda n, r: None
        self.on_accepted: Callable[[str, Any], None] = lambda n, r: None
        self.on_hosts: Callable[[Any], None] = lambda hosts: None
        self.on_exit: Callable[[str, Any], None] = lambda n, e: None
        self.on_handled: Callable[[str, Any], None] = lambda n, m: None
        self.on_drained: Callable[[str, str], None] = lambda n, e: None
