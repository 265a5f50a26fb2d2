"""Faults of endpoints and changes of their index version."""

from collections.abc import Callable

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import endpoint_run
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.soak import catalogs
from gypsumbridge_standins.soak import soak_state

SLOWDOWN = 20.0
# Endpoints switch to a new version within this time of each other.
SWITCH_SPREAD_MS = 200


def choose(state: soak_state.SoakState) -> model_endpoint.ModelEndpoint:
    """Return a random endpoint."""
    return state.replay.random.choice(list(state.replay.endpoints.values()))


def take_down(state: soak_state.SoakState) -> Callable[[], None]:
    """Stop an endpoint; its connections are lost."""
    endpoint = choose(state)
    endpoint.down = True
    for job in [*endpoint.running.values(), *endpoint.waiting]:
        reply = endpoint.replies[job]
        if endpoint_run.remove(state.replay, endpoint, job):
            status = messages.EndpointStatus.LOST
            lost = endpoint_run.make_reply(job.request, status, True)
            reply(endpoint_run.NETWORK_MS, lost)

    def undo() -> None:
        endpoint.down = False

    return undo


def slow_down(state: soak_state.SoakState) -> Callable[[], None]:
    """Make an endpoint a straggler."""
    endpoint = choose(state)
    endpoint.slowdown = SLOWDOWN

    def undo() -> None:
        endpoint.slowdown = 1.0

    return undo


def answer_other_version(
    state: soak_state.SoakState,
) -> Callable[[], None]:
    """Let an endpoint answer from another version than it is asked for."""
    endpoint = choose(state)
    endpoint.answers_version = f'v{state.index + 1}'

    def undo() -> None:
        endpoint.answers_version = ''

    return undo


def answer_other_shard(state: soak_state.SoakState) -> Callable[[], None]:
    """Let an endpoint answer for a shard that it was not asked for."""
    endpoint = choose(state)
    endpoint.answers_shard = 'set-00-0'

    def undo() -> None:
        endpoint.answers_shard = ''

    return undo


def drain(state: soak_state.SoakState) -> Callable[[], None]:
    """Let an endpoint leave, as one node learns from the host list."""
    replay = state.replay
    endpoint = choose(state)
    endpoint.draining = True
    state.leaving_since_ms[endpoint.name] = replay.scheduler.now_ms()
    tell_leaving(state, endpoint.name, True)

    def undo() -> None:
        endpoint.draining = False
        del state.leaving_since_ms[endpoint.name]
        tell_leaving(state, endpoint.name, False)

    return undo


def tell_leaving(
    state: soak_state.SoakState, endpoint: str, leaving: bool
) -> None:
    """Tell every owner what the host list says about an endpoint."""
    for node_id, node in state.replay.nodes.items():
        if not node.alive:
            continue
        for source in ('host_list', 'reply'):
            news = messages.EndpointLeaving(node_id, endpoint, source, leaving)
            if source == 'reply' and leaving:
                continue
            delivery.deliver(state.replay, node_id, news)


def change_version(state: soak_state.SoakState) -> Callable[[], None]:
    """Repartition: endpoints and nodes switch at times of their own."""
    replay = state.replay
    state.index += 1
    state.revision += 1
    name = f'v{state.index}'
    for endpoint in replay.endpoints.values():
        delay_ms = replay.random.randrange(SWITCH_SPREAD_MS)

        def switch(known=endpoint) -> None:
            known.versions = {name}

        replay.scheduler.after(delay_ms, switch)
    changed = catalogs.current(state)
    for node_id in list(replay.nodes):
        delay_ms = replay.random.randrange(SWITCH_SPREAD_MS)

        def apply(known=node_id) -> None:
            newest = replay.nodes[known].front.catalog.revision
            if newest < changed.catalog.revision:
                delivery.deliver(replay, known, changed)

        replay.scheduler.after(delay_ms, apply)
    return lambda: None
