"""Faults of endpoints."""

from collections.abc import Callable

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import endpoint_run
from gypsumbridge_standins.replay import full_fleet
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.soak import operators
from gypsumbridge_standins.soak import soak_state

SLOWDOWN_FACTOR = 20.0


def choose(state: soak_state.SoakState) -> model_endpoint.ModelEndpoint:
    """Return a random endpoint."""
    return state.replay.random.choice(list(state.replay.endpoints.values()))


def take_down(state: soak_state.SoakState) -> Callable[[], None]:
    """Stop an endpoint; its requests are lost."""
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
    """Make an endpoint slow."""
    endpoint = choose(state)
    endpoint.slowdown = SLOWDOWN_FACTOR

    def undo() -> None:
        endpoint.slowdown = 1.0

    return undo


def answer_other_version(
    state: soak_state.SoakState,
) -> Callable[[], None]:
    """Make an endpoint answer from another version than requested."""
    endpoint = choose(state)
    endpoint.answers_version = 'v999'

    def undo() -> None:
        endpoint.answers_version = ''

    return undo


def answer_other_shard(state: soak_state.SoakState) -> Callable[[], None]:
    """Make an endpoint answer for another shard than requested."""
    endpoint = choose(state)
    endpoint.answers_shard = 'set-00-0'

    def undo() -> None:
        endpoint.answers_shard = ''

    return undo


def lose_mutations(state: soak_state.SoakState) -> Callable[[], None]:
    """Make an endpoint run mutations and lose their replies."""
    endpoint = choose(state)
    endpoint.loses_mutations = True

    def undo() -> None:
        endpoint.loses_mutations = False

    return undo


def drain_by_reply(state: soak_state.SoakState) -> Callable[[], None]:
    """Drain an endpoint that reports it only in its replies."""
    endpoint = choose(state)
    endpoint.draining = True

    def undo() -> None:
        endpoint.draining = False
        state.leaving_since_ms.pop(endpoint.name, None)

    return undo


def drain_by_host_list(state: soak_state.SoakState) -> Callable[[], None]:
    """Drain an endpoint by its entry in the host list alone."""
    endpoint = choose(state)
    full_fleet.publish_hosts(state.replay, {endpoint.name})

    def undo() -> None:
        full_fleet.publish_hosts(state.replay, set())
        state.leaving_since_ms.pop(endpoint.name, None)

    return undo


def drain_by_operator(state: soak_state.SoakState) -> Callable[[], None]:
    """Drain an endpoint by an operator's declaration."""
    name = choose(state).name
    operators.declare_leaving(state, name, True)

    def undo() -> None:
        state.declared_leaving.pop(name, None)
        state.leaving_since_ms.pop(name, None)
        operators.declare_leaving(state, name, False)

    return undo
