"""Faults that the bench injects at `START_MS`."""

from gypsumbridge_standins.policy_bench import case
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import fleet
from gypsumbridge_standins.replay import replay as replays

STRAGGLER_SET_INTERVAL = 10
STRAGGLER_SLOWDOWN_FACTOR = 20.0
LOST_DOMAIN = 'fd-a'
LOST_NODE = 'node-1'


def no_fault(replay: replays.Replay) -> None:
    """Leave the fleet as it is."""


def slow_replicas(replay: replays.Replay) -> None:
    """Slow down one replica of every tenth replica set."""
    first_replicas = [n for n in replay.endpoints if n.endswith('-a')]
    for name in first_replicas[::STRAGGLER_SET_INTERVAL]:
        replay.endpoints[name].slowdown = STRAGGLER_SLOWDOWN_FACTOR


def lose_replicas(replay: replays.Replay) -> None:
    """Lose one replica of every replica set."""
    for name, endpoint in replay.endpoints.items():
        if name.endswith('-a'):
            endpoint.down = True


def lose_node(replay: replays.Replay) -> None:
    """Kill one node; the membership reports it later."""
    replay.nodes[LOST_NODE].alive = False
    replay.scheduler.after(case.DETECTION_MS, lambda: _report_members(replay))


def lose_domain(replay: replays.Replay) -> None:
    """Lose the nodes and endpoints of one failure domain."""
    for node in replay.nodes.values():
        if node.member.failure_domain == LOST_DOMAIN:
            node.alive = False
    for name in domain_endpoints(replay):
        replay.endpoints[name].down = True
    replay.scheduler.after(case.DETECTION_MS, lambda: _report_members(replay))


def domain_endpoints(replay: replays.Replay) -> list[str]:
    """Return the endpoints in the failure domain that is lost."""
    node = next(iter(replay.nodes.values()))
    return [
        endpoint.name
        for members in node.front.catalog.replica_sets.values()
        for endpoint in members
        if endpoint.failure_domain == LOST_DOMAIN
    ]


def _report_members(replay: replays.Replay) -> None:
    members = fleet.live_members(replay)
    for node_id in replay.nodes:
        delivery.deliver(replay, node_id, members)
