"""A fleet of baseline nodes."""

from collections.abc import Callable
import random

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_standins.policy_bench import tally as tallies
from gypsumbridge_standins.policy_bench.baseline import client_node
from gypsumbridge_standins.policy_bench.baseline import policy as policies
from gypsumbridge_standins.replay import replay as replays

OnResult = Callable[[messages.Answer | messages.Refusal], None]


class ClientFleet:
    """Nodes that use a replay's endpoints without coordination.

    Each node admits queries on its own. `reports` holds past loads of the
    endpoints by name, oldest first.
    """

    def __init__(
        self,
        replay: replays.Replay,
        declared: catalog.Catalog,
        policy: policies.Policy,
        tally: tallies.Tally,
        on_result: OnResult,
        seed: int,
    ) -> None:
        self.replay = replay
        self.catalog = declared
        self.policy = policy
        self.tally = tally
        self.on_result = on_result
        self.random = random.Random(f'baseline {seed}')
        self.nodes = {
            node_id: client_node.ClientNode(node_id)
            for node_id in replay.nodes
        }
        self.reports: list[dict[str, int]] = []
