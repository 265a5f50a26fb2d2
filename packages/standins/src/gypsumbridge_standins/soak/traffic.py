"""Queries of a soak, and the nodes that the load balancer chooses."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.soak import soak_state

DEADLINES_MS = (20, 100, 500, 2_000)
# Mean time between queries; the fleet can serve about 100 queries per second.
MEAN_INTERVAL_MS = 15
FLOOD_INTERVAL_MS = 2
# Below the balancer lag in the nodes' settings.
BALANCER_LAG_MS = 1_900
DISCONNECT_SHARE = 0.02


def send_queries(state: soak_state.SoakState) -> None:
    """Send a query now and schedule the next one."""
    if not state.sending:
        return
    random = state.replay.random
    mean_interval_ms = (
        FLOOD_INTERVAL_MS if state.faults.get('flood') else MEAN_INTERVAL_MS
    )
    delay_ms = round(random.expovariate(1.0) * mean_interval_ms)
    state.replay.scheduler.after(delay_ms, lambda: send_queries(state))
    send_query(state)


def choose_node(state: soak_state.SoakState) -> str | None:
    """Return a random node that the load balancer still uses, or None.

    The balancer uses a stopping node until its lag has passed.
    """
    now_ms = state.now_ms()
    available = []
    for node_id, node in state.replay.nodes.items():
        since_ms = state.stopping_since_ms.get(node_id, now_ms)
        if node.alive and now_ms - since_ms < BALANCER_LAG_MS:
            available.append(node_id)
    return state.replay.random.choice(available) if available else None


def send_query(state: soak_state.SoakState) -> None:
    """Send one random query to a node that the load balancer still uses."""
    replay = state.replay
    random = replay.random
    node_id = choose_node(state)
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
    state.open_requests[query.query_id] = (query, node_id, now_ms)
    delivery.deliver(replay, node_id, query)
    if random.random() < DISCONNECT_SHARE:
        disconnect(state, query, node_id)


def disconnect(
    state: soak_state.SoakState, query: messages.Query, node_id: str
) -> None:
    """Close the caller's connection soon after the query was sent."""

    def run() -> None:
        if state.open_requests.pop(query.query_id, None) is None:
            return
        state.disconnected.add(query.query_id)
        disconnected = messages.QueryGone(query.query_id)
        delivery.deliver(state.replay, node_id, disconnected)

    state.replay.scheduler.after(state.replay.random.randrange(30), run)
