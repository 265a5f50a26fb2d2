"""An in-memory fleet that runs the nodes' decisions."""

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
    """Nodes, endpoints, links and faults; the same seed gives the same run.

    `on_answer` is called with the node's id and each answer or refusal. The
    other callbacks are called for each decision, execution of a mutation,
    reply of a draining endpoint, revision in force, accepted change, host
    list and exit, and for each message that a node with control tasks has
    handled. `count_open_requests` returns how many callers wait at a node.
    With `encode_messages`, messages between nodes are encoded and decoded.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(f'replay {seed}')
        self.scheduler = scheduler.Scheduler()
        self.nodes: dict[str, replay_node.ReplayNode] = {}
        self.endpoints: dict[str, model_endpoint.ModelEndpoint] = {}
        self.faults = link_faults.LinkFaults()
        self.cut_links: set[frozenset[str]] = set()
        self.counts: dict[str, int] = {}
        self.messages_sent = 0
        self.encode_messages = False
        self.on_answer: Callable[[str, Any], None] = lambda node_id, result: (
            None
        )
        self.on_decision: Callable[[str, Any], None] = lambda n, d: None
        self.store = model_store.ModelStore()
        self.hosts = model_hosts.ModelHosts()
        self.domains: tuple[str, ...] = ()
        self.wall_offsets_ms: dict[str, int] = {}
        self.start_count = 0
        self.count_open_requests: Callable[[str], int] = lambda node_id: 0
        self.on_executed: Callable[[str, Any], None] = lambda n, r: None
        self.on_publish: Callable[[str, int], None] = lambda n, r: None
        self.on_accepted: Callable[[str, Any], None] = lambda n, r: None
        self.on_hosts: Callable[[Any], None] = lambda hosts: None
        self.on_exit: Callable[[str, Any], None] = lambda n, e: None
        self.on_handled: Callable[[str, Any], None] = lambda n, m: None
        self.on_drained: Callable[[str, str], None] = lambda n, e: None
