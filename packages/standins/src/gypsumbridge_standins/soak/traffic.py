"""Queries of a soak run, and the node that the balancer picks."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.soak import soak_state

DEADLINES_MS = (20, 100, 500, 2_000)
# Mean time between queries; the fleet takes about 100 queries a second.
MEAN_GAP_MS = 15
FLOOD_GAP_MS = 2
# Below the lag that the nodes allow for.
BALANCER_LAG_MS = 1_900
HANG_UP_SHARE = 0.02


def send_queries(state: soak_state.SoakState) -> None:
    """Send a query now and plan the next one."""
    if not state.sending:
        return
    random = state.replay.random
    gap_ms = FLOOD_GAP_MS if state.faults.get('flood') else MEAN_GAP_MS
    delay_ms = round(random.expovariate(1.0) * gap_ms)
    state.replay.scheduler.after(delay_ms, lambda: send_queries(state))
    send_query(state)


def balance(state: soak_state.SoakState) -> str | None:
    """Return a node that the balancer thinks is up."""
    now_ms = state.now_ms()
    up = []
    for node_id, node in state.replay.nodes.items():
        since_ms = state.stopping_since_ms.get(node_id, now_ms)
        if node.alive and now_ms - since_ms < BALANCER_LAG_MS:
            up.append(node_id)
    return state.replay.random.choice(up) if up else None


def send_query(state: soak_state.SoakState) -> None:
    """Send one random query to a node that the balancer thinks is up."""
    replay = state.replay
    random = replay.random
    node_id = balance(state)
    if node_id is None:
        return
    state.sent += 1
    flood = state.faults.get('flood')
    rank = build.RANKS[-1] if flood else random.choice(build.RANKS)
    query = messages.Query(
        query_id=f'q{state.sent}',
        request_id=f'r{state.sent}',
        service=random.choice(build.SMALL_GROUPS).service,
        rank=rank.name,
        caller=f'caller-{random.randrange(4)}',
        deadline_ms=random.choice(DEADLINES_MS),
        body=b'{}',
    )
    now_ms = replay.scheduler.now_ms()
    state.open[query.query_id] = (query, node_id, now_ms)
    delivery.deliver(replay, node_id, query)
    if random.random() < HANG_UP_SHARE:
        hang_up(state, query, node_id)


def hang_up(
    state: soak_state.SoakState, query: messages.Query, node_id: str
) -> None:
    """End a query from the caller's side while it runs."""

    def run() -> None:
        if state.open.pop(query.query_id, None) is None:
            return
        state.hung_up.add(query.query_id)
        gone = messages.QueryGone(query.query_id)
        delivery.deliver(state.replay, node_id, gone)

    state.replay.scheduler.after(state.replay.random.randrange(30), run)
