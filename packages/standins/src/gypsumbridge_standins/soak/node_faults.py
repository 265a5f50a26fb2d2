"""Faults of nodes and the links between them."""

from collections.abc import Callable
from collections.abc import Iterable

from gypsumbridge_decisions import lifecycle
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import endpoint_run
from gypsumbridge_standins.replay import full_fleet
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.soak import checks
from gypsumbridge_standins.soak import soak_state

RESTART_MS = 3_000


def choose(state: soak_state.SoakState) -> str | None:
    """Return a random node that is up and not stopping."""
    up = [
        node_id
        for node_id, node in state.replay.nodes.items()
        if node.alive and node_id not in state.stopping_since_ms
    ]
    return state.replay.random.choice(up) if up else None


def trouble(state: soak_state.SoakState, node_ids: Iterable[str]) -> None:
    """Note that a fault holds nodes up."""
    for node_id in node_ids:
        state.troubled[node_id] = state.troubled.get(node_id, 0) + 1


def end_trouble(state: soak_state.SoakState, node_ids: Iterable[str]) -> None:
    """Note that a fault holds nodes up no longer."""
    for node_id in node_ids:
        state.troubled[node_id] -= 1
        state.trouble_ms[node_id] = state.now_ms()


def kill(state: soak_state.SoakState) -> Callable[[], None]:
    """Stop a node at once; it comes back with empty memory."""
    replay = state.replay
    node_id = choose(state)
    if node_id is None:
        return lambda: None
    replay.nodes[node_id].alive = False
    trouble(state, [node_id])
    for request_id, (_, sent_to, _) in list(state.open.items()):
        if sent_to == node_id:
            del state.open[request_id]
            state.ended.add(request_id)
            state.lost_with_node += 1
    for endpoint in replay.endpoints.values():
        drop_requests(state, endpoint, node_id)

    def undo() -> None:
        full_fleet.start(replay, node_id)
        end_trouble(state, [node_id])

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


def stop(state: soak_state.SoakState) -> Callable[[], None]:
    """Stop a node gracefully; its exit starts it again after a while."""
    node_id = choose(state)
    if node_id is not None:
        state.stopping_since_ms[node_id] = state.now_ms()
        event = lifecycle.StopRequested()
        delivery.deliver(state.replay, node_id, event)
    return lambda: None


def finish_stop(
    state: soak_state.SoakState, node_id: str, ended: lifecycle.ExitNode
) -> None:
    """Check a node that has stopped and plan its next start."""
    checks.check_exit(state, node_id, ended)
    replay = state.replay
    replay.nodes[node_id].alive = False
    trouble(state, [node_id])
    state.stops += 1

    def restart() -> None:
        full_fleet.start(replay, node_id)
        end_trouble(state, [node_id])
        del state.stopping_since_ms[node_id]

    replay.scheduler.after(replay.random.randrange(RESTART_MS), restart)


def pause(state: soak_state.SoakState) -> Callable[[], None]:
    """Stop a node's time; its messages wait until it goes on."""
    node_id = choose(state)
    if node_id is None:
        return lambda: None
    node = state.replay.nodes[node_id]
    if node.paused:
        return lambda: None
    node.paused = True
    trouble(state, [node_id])

    def undo() -> None:
        end_trouble(state, [node_id])
        if state.replay.nodes[node_id] is node:
            state.resumed_ms[node_id] = state.now_ms()
            delivery.resume(state.replay, node_id)

    return undo


def cut(state: soak_state.SoakState) -> Callable[[], None]:
    """Cut one node off from all others and from the store."""
    node_id = state.replay.random.choice(list(state.replay.nodes))
    others = [n for n in state.replay.nodes if n != node_id]
    undo = separate(state, [node_id], others)
    state.replay.store.cut_nodes.add(node_id)

    def undo_all() -> None:
        state.replay.store.cut_nodes.discard(node_id)
        undo()

    return undo_all


def cut_domain(state: soak_state.SoakState) -> Callable[[], None]:
    """Cut a failure domain off from the others, not from the store."""
    replay = state.replay
    domain = replay.random.choice(replay.domains)
    inside = [
        n for n, v in replay.nodes.items() if v.member.failure_domain == domain
    ]
    outside = [n for n in replay.nodes if n not in inside]
    return separate(state, inside, outside)


def separate(
    state: soak_state.SoakState, left: list[str], right: list[str]
) -> Callable[[], None]:
    """Cut every link between two sides; the left one is cut off."""
    replay = state.replay
    pairs = {frozenset((a, b)) for a in left for b in right}
    # A pair that another fault cuts stays cut until that one ends.
    added = pairs - replay.cut_links
    replay.cut_links |= added
    trouble(state, left)

    def undo() -> None:
        replay.cut_links -= added
        end_trouble(state, left)

    return undo
