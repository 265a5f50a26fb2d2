"""Faults of nodes and the links between them."""

from collections.abc import Callable

from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import endpoint_run
from gypsumbridge_standins.replay import fleet
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.replay import replay_node
from gypsumbridge_standins.soak import catalogs
from gypsumbridge_standins.soak import soak_state

# Time until the other nodes know that a node is gone or back.
DETECTION_MS = 1_000


def kill(state: soak_state.SoakState) -> Callable[[], None]:
    """Stop a node at once; it comes back with empty memory."""
    replay = state.replay
    node_id = replay.random.choice(list(replay.nodes))
    node = replay.nodes[node_id]
    node.alive = False
    for query_id, (_, sent_to, _) in list(state.open.items()):
        if sent_to == node_id:
            del state.open[query_id]
            state.ended.add(query_id)
            state.lost_with_node += 1
    for endpoint in replay.endpoints.values():
        drop_requests(state, endpoint, node_id)
    replay.scheduler.after(DETECTION_MS, lambda: tell_members(state))

    def undo() -> None:
        replay.nodes[node_id] = replay_node.ReplayNode(
            node.member, fleet.SILENCE_MS
        )
        fleet.start_node(replay, node_id, catalogs.current(state))
        replay.scheduler.after(DETECTION_MS, lambda: tell_members(state))

    return undo


def drop_requests(
    state: soak_state.SoakState,
    endpoint: model_endpoint.ModelEndpoint,
    node_id: str,
) -> None:
    """End a killed node's requests at an endpoint, as lost connections."""
    jobs = [*endpoint.running.values(), *endpoint.waiting]
    for job in jobs:
        if job.node_id == node_id:
            endpoint_run.remove(state.replay, endpoint, job)


def tell_members(state: soak_state.SoakState) -> None:
    """Give every node the present members."""
    changed = fleet.live_members(state.replay)
    for node_id, node in state.replay.nodes.items():
        if node.alive:
            delivery.deliver(state.replay, node_id, changed)


def pause(state: soak_state.SoakState) -> Callable[[], None]:
    """Stop a node's time; its messages wait until it goes on."""
    node_id = state.replay.random.choice(list(state.replay.nodes))
    state.replay.nodes[node_id].paused = True

    def undo() -> None:
        state.resumed_ms[node_id] = state.replay.scheduler.now_ms()
        delivery.resume(state.replay, node_id)

    return undo


def cut(state: soak_state.SoakState) -> Callable[[], None]:
    """Cut one node off from all others."""
    names = list(state.replay.nodes)
    node_id = state.replay.random.choice(names)
    pairs = {frozenset((node_id, name)) for name in names if name != node_id}
    state.replay.cut |= pairs

    def undo() -> None:
        state.replay.cut -= pairs

    return undo
