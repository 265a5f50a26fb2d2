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
    """Return a random node that is alive and not stopping, or None."""
    running_nodes = [
        node_id
        for node_id, node in state.replay.nodes.items()
        if node.alive and node_id not in state.stopping_since_ms
    ]
    return state.replay.random.choice(running_nodes) if running_nodes else None


def begin_disturbance(
    state: soak_state.SoakState, node_ids: Iterable[str]
) -> None:
    """Count a fault that disturbs the nodes."""
    for node_id in node_ids:
        state.disturbances[node_id] = state.disturbances.get(node_id, 0) + 1


def end_disturbance(
    state: soak_state.SoakState, node_ids: Iterable[str]
) -> None:
    """Record the end of a fault that disturbs the nodes."""
    for node_id in node_ids:
        state.disturbances[node_id] -= 1
        state.last_disturbed_ms[node_id] = state.now_ms()


def kill(state: soak_state.SoakState) -> Callable[[], None]:
    """Kill a node; it restarts without any state."""
    replay = state.replay
    node_id = choose(state)
    if node_id is None:
        return lambda: None
    replay.nodes[node_id].alive = False
    begin_disturbance(state, [node_id])
    for request_id, (_, sent_to, _) in list(state.open_requests.items()):
        if sent_to == node_id:
            del state.open_requests[request_id]
            state.ended.add(request_id)
            state.lost_with_node += 1
    for endpoint in replay.endpoints.values():
        drop_requests(state, endpoint, node_id)

    def undo() -> None:
        full_fleet.start(replay, node_id)
        end_disturbance(state, [node_id])

    return undo


def drop_requests(
    state: soak_state.SoakState,
    endpoint: model_endpoint.ModelEndpoint,
    node_id: str,
) -> None:
    """End a killed node's requests at an endpoint, as its connections end."""
    jobs = [*endpoint.running.values(), *endpoint.waiting]
    for job in jobs:
        if job.node_id == node_id:
            endpoint_run.remove(state.replay, endpoint, job)


def stop(state: soak_state.SoakState) -> Callable[[], None]:
    """Stop a node gracefully; it restarts some time after its exit."""
    node_id = choose(state)
    if node_id is not None:
        state.stopping_since_ms[node_id] = state.now_ms()
        event = lifecycle.StopRequested()
        delivery.deliver(state.replay, node_id, event)
    return lambda: None


def handle_exit(
    state: soak_state.SoakState, node_id: str, exit_command: lifecycle.ExitNode
) -> None:
    """Check a node that has stopped and schedule its restart."""
    checks.check_exit(state, node_id, exit_command)
    replay = state.replay
    replay.nodes[node_id].alive = False
    begin_disturbance(state, [node_id])
    state.stops += 1

    def restart() -> None:
        full_fleet.start(replay, node_id)
        end_disturbance(state, [node_id])
        del state.stopping_since_ms[node_id]

    replay.scheduler.after(replay.random.randrange(RESTART_MS), restart)


def pause(state: soak_state.SoakState) -> Callable[[], None]:
    """Pause a node; its messages are held until it resumes."""
    node_id = choose(state)
    if node_id is None:
        return lambda: None
    node = state.replay.nodes[node_id]
    if node.paused:
        return lambda: None
    node.paused = True
    begin_disturbance(state, [node_id])

    def undo() -> None:
        end_disturbance(state, [node_id])
        if state.replay.nodes[node_id] is node:
            state.resumed_ms[node_id] = state.now_ms()
            delivery.resume(state.replay, node_id)

    return undo


def cut(state: soak_state.SoakState) -> Callable[[], None]:
    """Cut one node off from all other nodes and from the store."""
    node_id = state.replay.random.choice(list(state.replay.nodes))
    others = [n for n in state.replay.nodes if n != node_id]
    undo = separate(state, [node_id], others)
    state.replay.store.cut_nodes.add(node_id)

    def undo_all() -> None:
        state.replay.store.cut_nodes.discard(node_id)
        undo()

    return undo_all


def cut_domain(state: soak_state.SoakState) -> Callable[[], None]:
    """Cut one failure domain off from the others, but not from the store."""
    replay = state.replay
    domain = replay.random.choice(replay.domains)
    inside = [
        n for n, v in replay.nodes.items() if v.member.failure_domain == domain
    ]
    outside = [n for n in replay.nodes if n not in inside]
    return separate(state, inside, outside)


def separate(
    state: soak_state.SoakState, left_side: list[str], right_side: list[str]
) -> Callable[[], None]:
    """Cut every link between two sides; only the left one is disturbed."""
    replay = state.replay
    pairs = {frozenset((a, b)) for a in left_side for b in right_side}
    # A link that another fault has cut stays cut until that fault ends.
    added = pairs - replay.cut_links
    replay.cut_links |= added
    begin_disturbance(state, left_side)

    def undo() -> None:
        replay.cut_links -= added
        end_disturbance(state, left_side)

    return undo
