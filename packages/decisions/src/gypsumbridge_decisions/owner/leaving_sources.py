"""Tracks which endpoints are leaving, and which sources report it."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import dispatching
from gypsumbridge_decisions.owner import replica_state
from gypsumbridge_decisions.owner import state as states

HOST_LIST_SOURCE = 'host_list'
REPLY_SOURCE = 'reply'
OPERATOR_SOURCE = 'operator'


def set_leaving_source(
    state: states.OwnerState,
    endpoint: str,
    source: str,
    leaving: bool,
    now_ms: int,
) -> list[command.Command]:
    """Add or remove one source; return no commands if nothing changed.

    An endpoint gets work again as soon as no source reports it as leaving.
    """
    sources = state.leaving_endpoints.setdefault(endpoint, set())
    if leaving == (source in sources):
        if not sources:
            del state.leaving_endpoints[endpoint]
        return []
    if leaving:
        sources.add(source)
    else:
        sources.discard(source)
    if not sources:
        del state.leaving_endpoints[endpoint]
    decision = messages.Decision(
        'stop_endpoint' if leaving else 'resume_endpoint',
        source,
        {'endpoint': endpoint},
    )
    commands: list[command.Command] = [decision]
    for set_state in state.sets.values():
        replica = set_state.replicas.get(endpoint)
        if replica is None:
            continue
        refresh_sources(state, replica)
        if not leaving:
            commands += dispatching.dispatch(state, set_state, now_ms)
    return commands


def refresh_sources(
    state: states.OwnerState, replica: replica_state.ReplicaState
) -> None:
    """Recompute the leaving sources of a replica.

    An operator's declaration takes effect by its revision: a catalog older
    than the operator's notice must not undo it.
    """
    name = replica.endpoint.name
    sources = set(state.leaving_endpoints.get(name, ()))
    leaving = replica.endpoint.leaving
    notice = state.operator_notices.get(name)
    if notice is not None and notice.revision > state.catalog.revision:
        leaving = notice.leaving
    if leaving:
        sources.add(OPERATOR_SOURCE)
    replica.leaving_sources = sources
